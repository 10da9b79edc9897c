#include "gypsumhub/proxy/caller_answer.h"

#include "gypsumhub/proxy/header_names.h"
#include "gypsumhub/proxy/message_fields.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <string>

namespace gypsumhub {

namespace {

    auto readResultField(std::string_view field) -> std::optional<result_code>
    {
        auto number = uint16_t { 0 };
        auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), number);
        if (error != std::errc {})
            return std::nullopt;
        return resultCodeFromNumber(number);
    }

    auto readOutcomeField(std::string_view field) -> std::optional<request_outcome>
    {
        for (auto outcome : { request_outcome::Answered, request_outcome::NotRun, request_outcome::Unknown })
            if (field == toString(outcome))
                return outcome;
        return std::nullopt;
    }

    auto makeMessage(target_answer&& answer, http::verb answerTo) -> http::response<http::string_body>
    {
        auto length = std::string(answer.head[http::field::content_length]);
        removeConnectionFields(answer.head);
        auto message = http::response<http::string_body>(std::move(answer.head));
        message.version(11);
        message.body() = std::move(answer.body);
        if (answerTo != http::verb::head)
            message.prepare_payload();
        else if (!length.empty())
            message.set(http::field::content_length, length);
        return message;
    }

} // namespace

auto makeRefusal(result_code code, std::string_view requestId) -> caller_answer
{
    auto& row = describe(code);
    auto answer = caller_answer { code, row.outcome };
    auto& message = answer.message;
    message.version(11);
    message.result(row.httpStatus);
    message.set(http::field::content_type, "application/json");
    auto body = boost::json::object {
        { "code", static_cast<uint16_t>(code) },
        { "name", row.name },
        { "outcome", toString(row.outcome) },
        { "text", row.text },
    };
    message.body() = boost::json::serialize(body) + "\n";
    message.prepare_payload();
    setOutcomeFields(message, code, row.outcome, requestId);
    return answer;
}

auto makeTargetAnswer(target_answer&& answer, http::verb answerTo, std::string_view requestId) -> caller_answer
{
    auto converted = caller_answer {};
    converted.streamed = answer.streamed;
    converted.message = makeMessage(std::move(answer), answerTo);
    setOutcomeFields(converted.message, converted.code, converted.outcome, requestId);
    return converted;
}

auto makePeerAnswer(target_answer&& answer, http::verb answerTo, std::string_view requestId) -> caller_answer
{
    auto code = readResultField(answer.head[header_names::result]);
    auto outcome = readOutcomeField(answer.head[header_names::outcome]);
    // Every node states code and outcome; an answer without them does not come from a node.
    if (!code || !outcome)
        return makeRefusal(result_code::TargetAnswerMismatched, requestId);
    auto converted = makeTargetAnswer(std::move(answer), answerTo, requestId);
    converted.code = *code;
    converted.outcome = *outcome;
    setOutcomeFields(converted.message, *code, *outcome, requestId);
    return converted;
}

auto makeKeptAnswer(const target_answer& answer) -> std::shared_ptr<const kept_answer>
{
    auto head = answer.head;
    removeConnectionFields(head);
    auto kept = std::make_shared<kept_answer>();
    kept->status = static_cast<uint16_t>(answer.head.result_int());
    for (auto& field : head) {
        kept->header.append(field.name_string()).append(": ");
        kept->header.append(field.value()).append("\r\n");
    }
    kept->body = answer.body;
    return kept;
}

auto makeReplayedAnswer(const kept_answer& kept, std::string_view requestId) -> caller_answer
{
    auto answer = caller_answer {};
    auto& message = answer.message;
    message.version(11);
    message.result(kept.status);
    auto rest = std::string_view(kept.header);
    while (!rest.empty()) {
        auto line = rest.substr(0, rest.find("\r\n"));
        rest.remove_prefix(std::min(line.size() + 2, rest.size()));
        auto colon = line.find(": ");
        if (colon != std::string_view::npos)
            message.insert(line.substr(0, colon), line.substr(colon + 2));
    }
    message.body() = kept.body;
    message.prepare_payload();
    setOutcomeFields(message, answer.code, answer.outcome, requestId);
    return answer;
}

auto setOutcomeFields(http::fields& fields, result_code code, request_outcome outcome, std::string_view requestId) -> void
{
    fields.set(header_names::outcome, toString(outcome));
    auto result = std::to_string(static_cast<uint16_t>(code));
    result.append(" ").append(describe(code).name);
    fields.set(header_names::result, result);
    if (!requestId.empty())
        fields.set(header_names::requestId, requestId);
}

} // namespace gypsumhub
