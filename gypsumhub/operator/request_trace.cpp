#include "gypsumhub/operator/request_trace.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

namespace gypsumhub {

namespace {

    namespace json = boost::json;

    // Log lines about the target from this long before the end of the request may explain its outcome. The estimated health of targets
    // changes within seconds.
    constexpr auto relatedBeforeSeconds = 10.0;
    // The node logs the outcome of an answer right after the request has ended.
    constexpr auto relatedAfterSeconds = 0.1;
    constexpr auto maxRelatedLines = size_t { 12 };

    /// One log line that has a time and an event.
    struct log_line {
        /// Unix time in seconds.
        double time { 0 };
        std::string node;
        json::object fields;
    };

    /// A logged reason and its description.
    struct reason_row {
        std::string_view reason;
        std::string_view meaning;
    };

    constexpr auto reasonRows = std::to_array<reason_row>({
        { "answered", "the target's answer was delivered" },
        { "target_failed", "the target ran it and answered with an error of its own" },
        { "target_declined", "every target that it was sent to declined to run it; it did not run" },
        { "target_unreachable", "no connection to the target could be opened; it did not run" },
        { "repeats_spent", "a further attempt was not allowed: the fleet's retry budget is exhausted" },
        { "no_room", "no target had capacity for it in time; it did not run" },
        { "no_target", "no usable target of the service is registered; it did not run" },
        { "no_configuration", "the node had no configuration yet; it did not run" },
        { "no_route", "no route matches its host and path" },
        { "stopping", "the node was about to finish a planned shutdown; it did not run" },
        { "caller_left", "the caller disconnected before it was sent; it did not run" },
        { "answer_lost", "the connection to the target ended without a complete answer; it may have run" },
        { "target_timeout", "the target did not answer in time; it may have run" },
    });

    auto textOf(const json::object& fields, std::string_view name) -> std::string
    {
        auto* value = fields.if_contains(name);
        if (!value)
            return "unknown";
        return value->is_string() ? std::string(value->as_string()) : json::serialize(*value);
    }

    auto percentOf(const json::object& fields, std::string_view name) -> std::string
    {
        auto* value = fields.if_contains(name);
        return value && value->is_number() ? std::to_string(std::lround(value->to_number<double>() * 100)) + " %" : "unknown";
    }

    auto explainReasons(std::string_view reasons) -> std::string
    {
        auto text = std::string {};
        for (auto rest = reasons; !rest.empty();) {
            auto comma = std::min(rest.find(','), rest.size());
            auto row = std::ranges::find(reasonRows, rest.substr(0, comma), &reason_row::reason);
            text += text.empty() ? "" : "; ";
            text += row == reasonRows.end() ? rest.substr(0, comma) : row->meaning;
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
        return text;
    }

    auto describePlaced(const json::object& fields) -> std::string
    {
        return "sent to target " + textOf(fields, "target") + " (" + textOf(fields, "data_centre") + "), attempt " + textOf(fields, "attempt") + ", after waiting "
            + textOf(fields, "waited_ms") + " ms. Probability that the target is bad: " + percentOf(fields, "probability_bad") + ", based on evidence " + textOf(fields, "evidence_age_ms")
            + " ms old; registration revision " + textOf(fields, "target_revision") + ", configuration " + textOf(fields, "routes_version") + "; this node had "
            + textOf(fields, "in_flight") + " requests in flight to the target and " + textOf(fields, "waiting") + " waiting";
    }

    auto describeEnded(const json::object& fields) -> std::string
    {
        return "ended with status " + textOf(fields, "status") + " after " + textOf(fields, "took_ms") + " ms, " + textOf(fields, "left_ms") + " ms before its deadline, sent "
            + textOf(fields, "sent") + " times\n    cause: " + explainReasons(textOf(fields, "reason"));
    }

    auto describeTargetState(const json::object& fields) -> std::string
    {
        return "target " + textOf(fields, "target") + (textOf(fields, "event") == "target_set_aside" ? " ejected" : " reinstated") + " after " + textOf(fields, "outcome")
            + " observed by " + textOf(fields, "seen_by") + ": " + percentOf(fields, "probability_before") + " -> " + percentOf(fields, "probability_after");
    }

    auto describeOther(const json::object& fields) -> std::string
    {
        auto shown = fields;
        shown.erase("time");
        shown.erase("event");
        return textOf(fields, "event") + " " + json::serialize(shown);
    }

    /// An event and the function that describes its lines.
    struct event_row {
        std::string_view event;
        std::string (*describe)(const json::object&);
    };

    constexpr auto eventRows = std::to_array<event_row>({
        { "request_placed", describePlaced },
        { "request_ended", describeEnded },
        { "target_set_aside", describeTargetState },
        { "target_reinstated", describeTargetState },
    });

    auto describe(const log_line& line) -> std::string
    {
        auto row = std::ranges::find(eventRows, textOf(line.fields, "event"), &event_row::event);
        return row == eventRows.end() ? describeOther(line.fields) : row->describe(line.fields);
    }

    auto readLines(std::span<const log_source> sources) -> std::vector<log_line>
    {
        auto lines = std::vector<log_line> {};
        for (auto& source : sources) {
            auto stream = std::istringstream(source.text);
            for (auto text = std::string {}; std::getline(stream, text);) {
                auto error = boost::system::error_code {};
                auto value = json::parse(text, error);
                auto* object = error ? nullptr : value.if_object();
                auto* time = object ? object->if_contains("time") : nullptr;
                if (time && time->is_number() && object->contains("event"))
                    lines.push_back({ time->to_number<double>(), source.name, *object });
            }
        }
        std::ranges::stable_sort(lines, {}, &log_line::time);
        return lines;
    }

    // Whether a line may explain the outcome of a request whose last node and target are given: a line of this node about the target,
    // the node's connection to the store, its configuration, its start or shutdown, or dropped log lines.
    auto isRelatedLine(const log_line& line, std::string_view node, std::string_view target) -> bool
    {
        constexpr auto nodeEvents = std::to_array<std::string_view>({ "store_lost", "store_regained", "configuration_taken", "configuration_refused", "started", "stopping", "log_dropped" });
        auto event = textOf(line.fields, "event");
        if (event.starts_with("request_"))
            return false;
        return line.node == node && (textOf(line.fields, "target") == target || std::ranges::find(nodeEvents, event) != nodeEvents.end());
    }

} // namespace

auto traceRequest(std::string_view id, std::span<const log_source> sources) -> leaf::result<std::string>
{
    auto lines = readLines(sources);
    auto hasId = [&](auto& line) { return textOf(line.fields, "id") == id; };
    auto first = std::ranges::find_if(lines, hasId);
    if (first == lines.end())
        return failWith({ result_code::UsageError, "no log line has the id \"" + std::string(id) + "\"", {}, 0,
            "give the logs of all nodes; under load routine lines are dropped, and \"log_dropped\" lines count them" });
    auto start = first->time;
    auto text = "request " + std::string(id) + "\n";
    auto append = [&](const log_line& line) {
        text += "  " + std::to_string(std::lround((line.time - start) * 1000)) + " ms  " + line.node + ": " + describe(line) + "\n";
    };
    const log_line* last = nullptr;
    auto target = std::string {};
    for (auto& line : lines) {
        if (!hasId(line))
            continue;
        append(line);
        last = &line;
        target = textOf(line.fields, line.fields.contains("last_target") ? "last_target" : "target");
    }
    if (!last->fields.contains("reason"))
        text += "  the end of the request is not in these logs\n";
    auto related = std::vector<const log_line*> {};
    for (auto& line : lines) {
        if (line.time >= last->time - relatedBeforeSeconds && line.time <= last->time + relatedAfterSeconds && isRelatedLine(line, last->node, target))
            related.push_back(&line);
    }
    if (!related.empty())
        text += "log lines of " + last->node + " about target " + target + " and the node's dependencies, newest last:\n";
    for (auto index = related.size() - std::min(related.size(), maxRelatedLines); index < related.size(); ++index)
        append(*related[index]);
    return text;
}

auto traceRequestInFiles(std::string_view id, std::span<const std::string> paths) -> leaf::result<std::string>
{
    auto sources = std::vector<log_source> {};
    for (auto& path : paths) {
        auto file = std::ifstream(path);
        if (!file)
            return failWith({ result_code::UsageError, "cannot read the log", path, 0, "give log files that nodes wrote" });
        auto text = std::ostringstream {};
        text << file.rdbuf();
        sources.push_back({ std::filesystem::path(path).stem(), text.str() });
    }
    return traceRequest(id, sources);
}

} // namespace gypsumhub
