#pragma once

#include <cstdio>
#include <glog/logging.h>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Writes each glog message as one JSON line: `time` (Unix seconds), `severity`, `source`, and `message`; a message that is
/// itself a JSON object goes into `fields` instead.
class json_log_sink final : public google::LogSink {
public:
    /// Opens `path` for appending and becomes the only output of glog. Writes to standard error when `path` is empty or cannot be
    /// opened.
    explicit json_log_sink(const std::string& path);
    ~json_log_sink() override;
    json_log_sink(const json_log_sink&) = delete;
    auto operator=(const json_log_sink&) -> json_log_sink& = delete;

    /// Called by glog from any thread that logs.
    auto send(google::LogSeverity, const char* fullFilename, const char* baseFilename, int line, const google::LogMessageTime&,
        const char* message, size_t length) -> void override;

private:
    std::FILE* m_file;
};

/// Returns the line that `json_log_sink` writes for one message, without the line end.
auto formatLogLine(double unixSeconds, std::string_view severity, std::string_view source, std::string_view message) -> std::string;

} // namespace gypsumhub
