#include "gypsumhub/gateway/unanswered_requests.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/gateway/request_handler.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // All lines together fit into the usual buffer of a pipe (64 KB), since nothing is written after the end of the process.
    constexpr auto maxLines = 50;

} // namespace

unanswered_requests::registration::registration(unanswered_requests& owner, const request_handler& handler)
    : m_owner(owner)
    , m_entry(owner.m_handlers.insert(owner.m_handlers.end(), &handler))
{
}

unanswered_requests::registration::~registration()
{
    m_owner.m_handlers.erase(m_entry);
}

auto request_handler::describe() const -> boost::json::object
{
    // No connection is open between two attempts.
    auto isRelaying = m_connection && m_dispatcher && isToBeRelayed();
    auto age = bootClockNow() - m_arrivedAt;
    return { { "id", m_id }, { "route", m_route ? m_route->name : std::string {} }, { "sent", m_sent }, { "age_ms", age.milliseconds() }, { "relaying", isRelaying }, { "answer_ready", m_hasAnswer } };
}

auto unanswered_requests::count() const -> size_t
{
    return static_cast<size_t>(std::ranges::count_if(m_handlers, [](auto* handler) { return !handler->hasCallerLeft(); }));
}

auto unanswered_requests::log(json_logger& log) const -> void
{
    auto lines = 0;
    for (auto* handler : m_handlers) {
        if (handler->hasCallerLeft())
            continue;
        if (++lines > maxLines)
            return;
        log.write(log_class::Final, "request_cut", handler->describe());
    }
}

} // namespace gypsumhub
