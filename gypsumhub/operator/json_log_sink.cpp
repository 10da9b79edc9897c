#include "gypsumhub/operator/json_log_sink.h"

#include "gypsumhub/core/clock.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace gypsumhub {

auto formatLogLine(double unixSeconds, std::string_view severity, std::string_view source, std::string_view message) -> std::string
{
    auto line = boost::json::object {};
    line["time"] = unixSeconds;
    line["severity"] = severity;
    line["source"] = source;
    // A message that is a JSON object keeps its structure, so that log tools can filter by field.
    auto error = boost::json::error_code {};
    auto fields = message.starts_with('{') ? boost::json::parse(message, error) : boost::json::value {};
    if (fields.is_object())
        line["fields"] = std::move(fields);
    else
        line["message"] = message;
    return boost::json::serialize(line);
}

json_log_sink::json_log_sink(const std::string& path)
    : m_file(path.empty() ? nullptr : std::fopen(path.c_str(), "ae"))
{
    if (!m_file)
        m_file = stderr;
    // Turns off the log files and the standard error output of glog, so that this sink is its only output.
    for (auto severity : { google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL })
        google::SetLogDestination(severity, "");
    FLAGS_logtostderr = false;
    FLAGS_alsologtostderr = false;
    google::SetStderrLogging(google::GLOG_FATAL);
    google::AddLogSink(this);
}

json_log_sink::~json_log_sink()
{
    google::RemoveLogSink(this);
    if (m_file != stderr)
        std::fclose(m_file);
}

auto json_log_sink::send(google::LogSeverity severity, const char*, const char* baseFilename, int line,
    const google::LogMessageTime&, const char* message, size_t length) -> void
{
    auto unixSeconds = static_cast<double>(wallClockNow().ns) * 1e-9;
    auto source = std::string(baseFilename) + ":" + std::to_string(line);
    auto text = formatLogLine(unixSeconds, google::GetLogSeverityName(severity), source, { message, length }) + "\n";
    // A single write per line keeps lines of several threads from interleaving.
    std::fwrite(text.data(), 1, text.size(), m_file);
    std::fflush(m_file);
}

} // namespace gypsumhub
