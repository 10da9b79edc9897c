#include "gypsumhub/proxy/nodes_answer.h"

#include "gypsumhub/core/hash.h"
#include "gypsumhub/proxy/message_fields.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string>
#include <vector>

namespace gypsumhub {

namespace {

    auto orderMembers(std::span<const member_view> group, random_generator& random) -> std::vector<member_view>
    {
        auto members = std::vector<member_view>(group.begin(), group.end());
        for (auto left = members.size(); left > 1; --left)
            std::swap(members[left - 1], members[random.below(left)]);
        std::ranges::stable_sort(members, {}, &member_view::distance);
        return members;
    }

    // Raises `latest` to `until` unless another thread has already stored a later time.
    auto storeMaximum(std::atomic<int64_t>& latest, time_point until) -> void
    {
        auto current = latest.load(std::memory_order_relaxed);
        while (current < until.ns && !latest.compare_exchange_weak(current, until.ns, std::memory_order_relaxed)) { }
    }

} // namespace

auto answerNodes(const proxy_context& context, const routing_snapshot& snapshot, const caller_request& request, random_generator& random)
    -> caller_answer
{
    auto name = queryParameter(request.message.target(), "service");
    if (name.empty() || request.message.method() != http::verb::get)
        return makeRefusal(result_code::MalformedRequest, request.id);
    auto service = snapshot.findService({ hashName(name) });
    if (!service)
        return makeRefusal(result_code::UnknownService, request.id);

    auto stopping = context.stopping.load();
    auto validUntil = context.now() + context.settings.answerLifetime;
    auto addresses = boost::json::array {};
    for (auto& member : orderMembers(service->group, random)) {
        auto isSelf = member.key == context.settings.self;
        if (isSelf && stopping)
            continue;
        if (isSelf)
            storeMaximum(context.advertisedUntil, validUntil);
        addresses.push_back(boost::json::string(formatAddress(member.callerAddress)));
    }
    if (addresses.empty())
        return makeRefusal(stopping ? result_code::NodeStopping : result_code::NodeNotReady, request.id);

    auto body = boost::json::object {
        { "service", name },
        { "addresses", std::move(addresses) },
        { "validUntil", validUntil.ns / 1'000'000 },
    };
    auto answer = caller_answer {};
    answer.message.version(11);
    answer.message.result(http::status::ok);
    answer.message.set(http::field::content_type, "application/json");
    answer.message.set(http::field::cache_control, "no-store");
    answer.message.body() = boost::json::serialize(body) + "\n";
    answer.message.prepare_payload();
    setOutcomeFields(answer.message, answer.code, answer.outcome, request.id);
    increment(context.counters.nodesAnswers);
    return answer;
}

} // namespace gypsumhub
