#include "gypsumhub/gateway/address_opener.h"

#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/deadline_timer.h"

namespace gypsumhub {

namespace {

    // Longer than the 60 s for which Linux keeps the address of a closed connection.
    constexpr auto addressWaitLimit = seconds(75);
    constexpr auto addressRetryInterval = milliseconds(20);

    auto faultOf(const address_step& step, const error_code& error) -> fault
    {
        return { result_code::AddressInUse, "cannot open " + formatEndpoint(step.address) + ": " + error.message(), {}, 0,
            "choose an address of this machine and a free port for " + std::string(step.setting) };
    }

} // namespace

address_opener::address_opener(gateway_context& context)
    : m_context(context)
    , m_waitsUntil(bootClockNow() + addressWaitLimit)
{
}

auto address_opener::run(address_step step) -> task<std::optional<fault>>
{
    auto timer = steady_timer(m_context.io.get_executor());
    for (auto isLogged = false; !m_context.shutdown.hasBegun();) {
        auto error = step.open();
        if (!error)
            co_return std::nullopt;
        if (error != asio::error::address_in_use || bootClockNow() >= m_waitsUntil)
            co_return faultOf(step, error);
        if (!isLogged)
            m_context.log.write(log_class::Notable, "address_in_use", { { "setting", step.setting }, { "address", formatEndpoint(step.address) }, { "error", error.message() } });
        isLogged = true;
        m_context.log.flush();
        co_await sleepUntil(timer, bootClockNow() + addressRetryInterval);
    }
    co_return std::nullopt;
}

} // namespace gypsumhub
