#include "gypsumhub/operator/replay/trace_reader.h"

#include "gypsumhub/core/hash.h"
#include "gypsumhub/operator/replay/trace_fields.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <fstream>
#include <sstream>

namespace gypsumhub {

namespace {

    namespace json = boost::json;

    /// A name in the trace and the value that it stands for.
    template <typename Value>
    struct named_value {
        std::string_view name;
        Value value;
    };

    constexpr auto preferences = std::to_array<named_value<ejection_preference>>({
        { "fast-detection", ejection_preference::FastDetection },
        { "balanced", ejection_preference::Balanced },
        { "few-false-ejections", ejection_preference::FewFalseEjections },
    });

    constexpr auto outcomes = std::to_array<named_value<outcome_kind>>({
        { "ejected-by", outcome_kind::EjectedBy },
        { "leaving-by", outcome_kind::LeavingBy },
        { "demoted-by", outcome_kind::DemotedBy },
        { "never-ejected", outcome_kind::NeverEjected },
        { "in-rotation-at", outcome_kind::InRotationAt },
        { "out-of-rotation-at", outcome_kind::OutOfRotationAt },
        { "at-least-in-rotation", outcome_kind::AtLeastInRotation },
        { "work-share-at-most", outcome_kind::WorkShareAtMost },
        { "probes-at-most", outcome_kind::ProbesAtMost },
    });

    // Returns the value with this name. Adds a fault that lists the valid names if there is none.
    template <typename Value, size_t count>
    auto findNamed(const std::array<named_value<Value>, count>& table, std::string_view name, trace_fields& fields) -> Value
    {
        auto found = std::ranges::find(table, name, &named_value<Value>::name);
        if (found != table.end())
            return found->value;
        auto validNames = std::string {};
        for (auto& entry : table)
            validNames += (validNames.empty() ? "" : ", ") + std::string(entry.name);
        fields.fail("\"" + std::string(name) + "\" is not a valid value", "one of " + validNames);
        return table.front().value;
    }

    auto parseAttemptResult(std::string_view name, trace_fields& fields) -> attempt_result
    {
        for (auto index = uint8_t { 0 }; index <= static_cast<uint8_t>(attempt_result::Cancelled); ++index) {
            auto result = static_cast<attempt_result>(index);
            if (toString(result) == name)
                return result;
        }
        fields.fail("\"" + std::string(name) + "\" is not a result of an attempt");
        return attempt_result::Success;
    }

    auto parseHealthState(std::string_view name, trace_fields& fields) -> health_state
    {
        for (auto index = uint8_t { 0 }; index <= static_cast<uint8_t>(health_state::Leaving); ++index) {
            auto state = static_cast<health_state>(index);
            if (toString(state) == name)
                return state;
        }
        fields.fail("\"" + std::string(name) + "\" is not a health state");
        return health_state::Healthy;
    }

    /// Builds a trace line by line and collects the faults of all lines.
    class trace_builder {
    public:
        explicit trace_builder(std::string_view file)
            : m_file(file)
        {
        }

        auto addLine(std::string_view text, uint32_t line) -> void
        {
            auto error = boost::system::error_code {};
            auto value = json::parse(json::string_view(text.data(), text.size()), error);
            auto* object = error ? nullptr : value.if_object();
            if (!object) {
                m_faults.faults.push_back({ result_code::TraceInvalid, "the line is not a JSON object", std::string(m_file), line });
                return;
            }
            auto fields = trace_fields(*object, m_file, line, m_faults);
            if (!m_trace.config)
                readHeader(fields, line);
            else if (fields.has("event"))
                readEvent(fields, line);
            else if (fields.has("expect"))
                readOutcome(fields, line);
            else
                fields.fail("the line is neither an event nor an expected outcome", "a field \"event\" or \"expect\"");
            fields.finish();
        }

        auto finish() -> leaf::result<replay_trace>
        {
            if (!m_trace.config && m_faults.faults.empty())
                m_faults.faults.push_back({ result_code::TraceInvalid, "the trace is empty", std::string(m_file), 1 });
            if (!m_faults.faults.empty())
                return leaf::new_error(std::move(m_faults));
            std::ranges::stable_sort(m_trace.events, {}, &replay_event::at);
            return std::move(m_trace);
        }

    private:
        auto readHeader(trace_fields& fields, uint32_t line) -> void
        {
            if (fields.number("trace", 0) != 1)
                fields.fail("the first line is not the header of a version 1 trace", "\"trace\": 1");
            auto config = std::make_shared<configuration>();
            config->revision.number = 1;
            for (auto* entry : fields.objects("dataCentres")) {
                auto inner = trace_fields(*entry, m_file, line, m_faults);
                auto spec = data_centre_spec { inner.text("name"), inner.text("region") };
                config->dataCentres[spec.name] = spec;
                inner.finish();
            }
            for (auto* entry : fields.objects("services"))
                readService(*entry, line, *config);
            for (auto* entry : fields.objects("nodes"))
                readNode(*entry, line, *config);
            m_trace.config = config;
            m_trace.seed = static_cast<uint64_t>(fields.number("seed", 1));
            m_trace.membersPerDataCentre = static_cast<uint32_t>(fields.number("membersPerDataCentre", 3));
            m_trace.until = fields.instant("until", {});
            auto driven = fields.texts("driven");
            for (auto& [name, node] : config->nodes) {
                if (driven.empty() || std::ranges::find(driven, name) != driven.end())
                    m_trace.driven.push_back(node);
            }
            if (m_trace.driven.empty())
                fields.fail("no node is driven", "\"nodes\" with at least one entry");
        }

        auto readService(const json::object& object, uint32_t line, configuration& config) -> void
        {
            auto fields = trace_fields(object, m_file, line, m_faults);
            auto spec = std::make_shared<service_spec>();
            spec->name = fields.text("name");
            spec->key = { hashName(spec->name) };
            spec->rules.floorPercent = static_cast<uint32_t>(fields.number("floorPercent", spec->rules.floorPercent));
            spec->rules.preference = findNamed(preferences, fields.text("preference", "balanced"), fields);
            auto slots = static_cast<uint16_t>(fields.number("slots", 4));
            for (auto* entry : fields.objects("targets")) {
                auto inner = trace_fields(*entry, m_file, line, m_faults);
                auto target = target_spec { .name = inner.text("name"), .dataCentre = inner.text("dataCentre"), .slots = slots };
                target.key = { hashName(target.name) };
                m_targetServices[target.name] = spec->key;
                spec->targets.push_back(target);
                inner.finish();
            }
            std::ranges::sort(spec->targets, {}, &target_spec::name);
            config.services[spec->name] = spec;
            fields.finish();
        }

        auto readNode(const json::object& object, uint32_t line, configuration& config) -> void
        {
            auto fields = trace_fields(object, m_file, line, m_faults);
            auto node = node_spec { .name = fields.text("name"), .dataCentre = fields.text("dataCentre") };
            node.key = { hashName(node.name) };
            config.nodes[node.name] = node;
            fields.finish();
        }

        auto readEvent(trace_fields& fields, uint32_t line) -> void
        {
            auto kind = fields.text("event");
            auto event = replay_event { fields.instant("at", {}), {} };
            if (kind == "attempt")
                event.content = readAttempt(fields, event.at);
            else if (kind == "load-report")
                event.content = readLoadReport(fields);
            else if (kind == "vm-list")
                event.content = replay_decision_event { {}, true, vm_list_event { targets(fields, "live"), targets(fields, "leaving") } };
            else if (kind == "membership")
                event.content = replay_decision_event { eventNode(fields), !fields.has("node"), membership_event { nodes(fields, "alive") } };
            else if (kind == "peer-lost")
                event.content = replay_decision_event { eventNode(fields), false, peer_lost_event { node(fields, "sender") } };
            else if (kind == "evidence")
                event.content = readEvidence(fields, event.at, line);
            else if (kind == "load")
                event.content = readLoad(fields);
            else if (kind == "fault")
                event.content = readFault(fields);
            else
                fields.fail("\"" + kind + "\" is not an event", "attempt, load-report, vm-list, membership, peer-lost, evidence, load or fault");
            m_trace.events.push_back(std::move(event));
        }

        auto readAttempt(trace_fields& fields, time_point at) -> replay_decision_event
        {
            auto report = attempt_report {};
            report.target = target(fields);
            report.service = m_targetServices[fields.text("target")];
            report.result = parseAttemptResult(fields.text("result"), fields);
            report.startedAt = fields.instant("startedAt", at);
            report.endedAt = at;
            report.reusedConnection = fields.flag("reused", false);
            report.probe = fields.flag("probe", false);
            return { eventNode(fields), false, attempt_event { report } };
        }

        auto readLoadReport(trace_fields& fields) -> replay_decision_event
        {
            auto report = load_report_event { target(fields), fields.flag("healthy", true) };
            report.reportedInFlight = static_cast<uint32_t>(fields.number("inFlight", 0));
            return { eventNode(fields), !fields.has("node"), report };
        }

        auto readEvidence(trace_fields& fields, time_point at, uint32_t line) -> replay_decision_event
        {
            auto event = evidence_event { node(fields, "sender"), {} };
            for (auto* entry : fields.objects("items")) {
                auto inner = trace_fields(*entry, m_file, line, m_faults);
                auto item = evidence {};
                item.target = target(inner);
                item.service = m_targetServices[inner.text("target")];
                item.state = parseHealthState(inner.text("state", "healthy"), inner);
                item.errorScore = static_cast<int32_t>(inner.number("errorScore", 0));
                item.slowScore = static_cast<int32_t>(inner.number("slowScore", 0));
                item.samples = static_cast<uint32_t>(inner.number("samples", 0));
                item.failuresInRow = static_cast<uint32_t>(inner.number("failuresInRow", 0));
                item.validUntil = inner.instant("validUntil", at + seconds(5));
                event.items.push_back(item);
                inner.finish();
            }
            return { eventNode(fields), !fields.has("node"), std::move(event) };
        }

        auto readLoad(trace_fields& fields) -> replay_load
        {
            auto load = replay_load {};
            load.service = service(fields);
            load.until = fields.instant("until", never);
            load.requestsPerSecond = fields.number("rate", 0);
            load.medianMs = fields.number("medianMs", load.medianMs);
            load.sigma = fields.number("sigma", load.sigma);
            load.errorShare = fields.number("errorShare", load.errorShare);
            load.deadline = fields.milliseconds("deadlineMs", load.deadline);
            return load;
        }

        auto readFault(trace_fields& fields) -> replay_fault
        {
            auto fault = replay_fault {};
            fault.targets = targets(fields, "targets");
            fault.nodes = nodes(fields, "nodes");
            fault.until = fields.instant("until", never);
            fault.result = parseAttemptResult(fields.text("result", "success"), fields);
            fault.share = fields.number("share", 1);
            fault.slowdown = fields.number("slowdown", 1);
            fault.keptConnections = fields.flag("keptConnections", false);
            fault.probesFail = fields.flag("probesFail", false);
            return fault;
        }

        auto readOutcome(trace_fields& fields, uint32_t line) -> void
        {
            auto outcome = expected_outcome { findNamed(outcomes, fields.text("expect"), fields) };
            outcome.line = line;
            if (fields.has("target")) {
                outcome.target = target(fields);
                outcome.name = fields.text("target");
                outcome.service = m_targetServices[outcome.name];
            } else if (fields.has("service")) {
                outcome.service = service(fields);
                outcome.name = fields.text("service");
            }
            outcome.from = fields.instant("from", {});
            outcome.at = fields.instant("at", m_trace.until);
            outcome.limit = fields.number("limit", 0);
            m_trace.outcomes.push_back(std::move(outcome));
        }

        auto target(trace_fields& fields) -> vm_key
        {
            auto name = fields.text("target");
            if (!m_targetServices.contains(name))
                fields.fail("\"" + name + "\" is not a target in the header");
            return { hashName(name) };
        }

        auto service(trace_fields& fields) -> service_key
        {
            auto name = fields.text("service");
            if (!m_trace.config->services.contains(name))
                fields.fail("\"" + name + "\" is not a service in the header");
            return { hashName(name) };
        }

        auto targets(trace_fields& fields, std::string_view field) -> std::vector<vm_key>
        {
            auto keys = std::vector<vm_key> {};
            for (auto& name : fields.texts(field)) {
                if (!m_targetServices.contains(name))
                    fields.fail("\"" + name + "\" is not a target in the header");
                keys.push_back({ hashName(name) });
            }
            return keys;
        }

        auto nodeKey(trace_fields& fields, const std::string& name) -> node_key
        {
            if (!m_trace.config->nodes.contains(name))
                fields.fail("\"" + name + "\" is not a node in the header");
            return { hashName(name) };
        }

        auto node(trace_fields& fields, std::string_view field) -> node_key { return nodeKey(fields, fields.text(field)); }

        // Returns the node that receives an event: the first driven node when the line contains no node.
        auto eventNode(trace_fields& fields) -> node_key
        {
            return fields.has("node") ? node(fields, "node") : m_trace.driven.empty() ? node_key {}
                                                                                      : m_trace.driven.front().key;
        }

        auto nodes(trace_fields& fields, std::string_view field) -> std::vector<node_key>
        {
            auto keys = std::vector<node_key> {};
            for (auto& name : fields.texts(field))
                keys.push_back(nodeKey(fields, name));
            std::ranges::sort(keys);
            return keys;
        }

        std::string_view m_file;
        replay_trace m_trace;
        fault_list m_faults;
        std::map<std::string, service_key, std::less<>> m_targetServices;
    };

} // namespace

auto readTrace(std::string_view path) -> leaf::result<replay_trace>
{
    auto stream = std::ifstream(std::string(path));
    if (!stream)
        return failWith({ result_code::FileUnreadable, "the trace cannot be opened", std::string(path) });
    auto content = std::stringstream {};
    content << stream.rdbuf();
    return parseTrace(content.str(), path);
}

auto parseTrace(std::string_view text, std::string_view name) -> leaf::result<replay_trace>
{
    auto builder = trace_builder(name);
    auto line = uint32_t { 0 };
    while (!text.empty()) {
        ++line;
        auto end = std::min(text.find('\n'), text.size());
        auto content = text.substr(0, end);
        // Empty lines and comments, which start with "#", are skipped.
        if (content.find_first_not_of(" \t\r") != std::string_view::npos && !content.starts_with('#'))
            builder.addLine(content, line);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return builder.finish();
}

} // namespace gypsumhub
