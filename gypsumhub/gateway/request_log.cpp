#include "gypsumhub/gateway/request_log.h"

#include <utility>

namespace gypsumhub {

request_log::request_log(json_logger& log, std::string_view requestId)
    : m_log(log)
    , m_id(requestId)
    , m_isSampled(log.samples(requestId))
{
}

auto request_log::recordPlacement(boost::json::object fields) -> void
{
    auto line = boost::json::object { { "time", logTimeNow() }, { "id", m_id } };
    for (auto& field : fields)
        line.emplace(field.key(), std::move(field.value()));
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
