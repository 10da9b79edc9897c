#include "gypsumhub/gateway/request_log.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/store_position.h"

#include <utility>

namespace gypsumhub {

request_log::request_log(json_logger& log, std::string_view requestId)
    : m_log(log)
    , m_id(requestId)
    , m_isSampled(log.samples(requestId))
{
}

auto request_log::recordPlacement(const placement_fields& placed) -> void
{
    auto now = bootClockNow();
    auto& registration = placed.target.registration;
    auto line = boost::json::object { { "time", logTimeNow() }, { "id", m_id }, { "route", placed.used.name }, { "routes_version", placed.routesVersion },
        { "target", registration.id }, { "data_centre", registration.dataCentre }, { "target_revision", revisionOf(registration.revision) },
        { "attempt", placed.attempt }, { "waited_ms", (now - placed.arrivedAt).milliseconds() }, { "probability_bad", placed.probabilityBad },
        { "evidence_age_ms", (now - placed.target.health.lastEvidenceAt()).milliseconds() }, { "idle_ms", placed.idleTime.milliseconds() },
        { "in_flight", placed.target.inFlight }, { "waiting", placed.waiting } };
    if (placed.cost) {
        line["expected_work_ms"] = placed.cost->work.mean.milliseconds();
        line["cost_level"] = nameOf(placed.cost->work.level);
        line["on_time_left_ms"] = (placed.cost->onTimeUntil - now).milliseconds();
        line["relative_time"] = placed.target.relativeResponseTime;
        line["other_load"] = placed.target.others.expected(now);
    }
    if (m_isSampled)
        m_log.write(log_class::Routine, "request_placed", std::move(line));
    else
        m_deferredLines.push_back(std::move(line));
}

auto request_log::recordEnd(boost::json::object fields, bool isSuccess) -> void
{
    if (isSuccess && !m_isSampled) {
        m_log.recordUnsampled(m_deferredLines.size() + 1);
        return;
    }
    for (auto& line : m_deferredLines)
        m_log.write(log_class::Notable, "request_placed", std::move(line));
    m_log.write(isSuccess ? log_class::Routine : log_class::Notable, "request_ended", std::move(fields));
}

} // namespace gypsumhub
