#include "gypsumhub/gateway/path_prober.h"

#include "gypsumhub/core/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace gypsumhub {

namespace {

    // A target that is probably bad is a poor probe: it may fail by itself.
    constexpr auto maxProbabilityBad = 0.5;

} // namespace

path_prober::path_prober(gateway_context& context, std::function<void()> onChange)
    : m_context(context)
    , m_onChange(std::move(onChange))
{
}

auto path_prober::tick(time_point now) -> void
{
    for (auto& [service, monitor] : m_context.paths) {
        monitor.setListener([this, &service](bool areLost) { handleChange(service, areLost); });
        monitor.setTargetCount(m_context.balancer.targetsOf(service).size());
        if (!monitor.isProbeDue(now))
            continue;
        auto candidates = std::vector<probe_candidate> {};
        for (auto& target : m_context.balancer.targetsOf(service)) {
            auto bad = target->health.probabilityBad(now, m_context.balancer.model(service).rates());
            // A probe opens a connection only, which a paused target does not mind.
            if (!target->isLeaving(now))
                candidates.push_back({ &target->registration, bad < maxProbabilityBad });
        }
        for (auto& id : monitor.beginProbes(candidates, now)) {
            ++m_context.counters.pathProbes;
            asio::co_spawn(m_context.io.get_executor(), probe(service, id, m_context.balancer.find(id)->registration.address), asio::detached);
        }
    }
}

auto path_prober::probe(std::string service, std::string id, endpoint address) -> task<>
{
    auto startedAt = bootClockNow();
    auto connection = std::make_shared<target_http_connection>(m_context.io, m_context.buffers);
    auto isOpen = co_await connection->connect(address, startedAt + connectTimeout);
    m_context.recordConnect(service, id, isOpen, startedAt);
}

auto path_prober::handleChange(const std::string& service, bool areLost) -> void
{
    auto now = bootClockNow();
    auto firstFailureAt = m_context.paths.at(service).firstFailureAt();
    m_context.log.write(log_class::Notable, areLost ? "target_paths_lost" : "target_paths_regained",
        { { "service", service }, { "since_first_failure_ms", (now - firstFailureAt).milliseconds() }, { "targets", m_context.balancer.targetsOf(service).size() } });
    if (areLost) {
        ++m_context.counters.pathLosses;
        m_context.balancer.forgetPathFailures(service, firstFailureAt, now);
        for (auto& target : m_context.balancer.targetsOf(service))
            m_context.connections.removeTarget(target->registration.id);
    }
    m_onChange();
    if (areLost)
        m_context.dispatcher(service).endWaits();
}

} // namespace gypsumhub
