#include "gypsumhub/main/node.h"

#include "gypsumhub/main/node_components.h"
#include "gypsumhub/operator/log_event.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace gypsumhub {

namespace asio = boost::asio;

struct node::implementation {
    explicit implementation(node_settings nodeSettings)
        : settings(std::move(nodeSettings))
        , components(settings)
        , signals(components.control.context(), SIGTERM, SIGINT)
    {
    }

    // Keeps handling signals until the node has stopped, so that a second signal does not end the process during shutdown.
    auto waitForSignal() -> void
    {
        signals.async_wait([this](const boost::system::error_code& error, int) {
            if (error)
                return;
            components.beginShutdown();
            waitForSignal();
        });
    }

    node_settings settings;
    node_components components;
    asio::signal_set signals;
};

node::node(node_settings settings)
    : m_implementation(std::make_unique<implementation>(std::move(settings)))
{
}

node::~node() = default;

auto node::run() -> leaf::result<void>
{
    auto& self = *m_implementation;
    std::signal(SIGPIPE, SIG_IGN);
    self.waitForSignal();
    BOOST_LEAF_CHECK(self.components.start());
    logEvent(google::GLOG_INFO, "started", { { "node", self.settings.name } });
    self.components.join();
    logEvent(google::GLOG_INFO, "stopped", { { "node", self.settings.name } });
    return {};
}

} // namespace gypsumhub
