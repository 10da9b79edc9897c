#include "fakes/fake_store_server.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/store/base64.h"
#include "gypsumhub/store/etcd_message.h"

#include <boost/json.hpp>
#include <utility>

namespace gypsumhub {

namespace json = boost::json;

namespace {

    auto numberIn(const json::value& value) -> int64_t
    {
        return value.is_string() ? std::stoll(json::value_to<std::string>(value)) : value.to_number<int64_t>();
    }

    auto bytesIn(const json::value& value) -> std::string
    {
        return fromBase64(json::value_to<std::string>(value)).value();
    }

    auto headerOf(const fake_store_state& state) -> json::value
    {
        return { { "revision", std::to_string(state.revision()) } };
    }

    auto entryObject(const store_entry& entry) -> json::value
    {
        return { { "key", toBase64(entry.key) }, { "mod_revision", std::to_string(entry.modRevision) }, { "value", toBase64(entry.value) } };
    }

    auto answerWith(json::value body) -> fake_http_answer
    {
        return { 200, json::serialize(body) };
    }

    auto range(fake_store_state& state, const json::object& request) -> fake_http_answer
    {
        ++state.counts.gets;
        auto entry = state.find(bytesIn(request.at("key")), wallClockNow());
        auto answer = json::object { { "header", headerOf(state) } };
        if (entry) {
            answer["kvs"] = json::array { entryObject(*entry) };
            answer["count"] = "1";
        }
        return answerWith(std::move(answer));
    }

    /// Uses up one pending fault. Returns whether the current write fails.
    auto consumeFault(uint32_t& count) -> bool
    {
        if (count == 0)
            return false;
        --count;
        return true;
    }

    auto transact(fake_store_state& state, const json::object& request) -> fake_http_answer
    {
        ++state.counts.swaps;
        if (consumeFault(state.faults.lostRequests))
            return { 0, {}, {}, true };
        auto& compare = request.at("compare").at(0).as_object();
        auto& put = request.at("success").at(0).at("requestPut").as_object();
        auto* leaseValue = put.if_contains("lease");
        auto expected = static_cast<uint64_t>(numberIn(compare.at("modRevision")));
        auto revision = state.putIf(bytesIn(put.at("key")), expected, bytesIn(put.at("value")), leaseValue ? numberIn(*leaseValue) : 0, wallClockNow());
        if (consumeFault(state.faults.lostReplies))
            return { 0, {}, {}, true };
        auto answer = json::object { { "header", headerOf(state) } };
        if (revision)
            answer["succeeded"] = true;
        return answerWith(std::move(answer));
    }

    auto deleteRange(fake_store_state& state, const json::object& request) -> fake_http_answer
    {
        ++state.counts.removals;
        state.remove(bytesIn(request.at("key")));
        return answerWith({ { "header", headerOf(state) } });
    }

    auto grantLease(fake_store_state& state, const json::object& request) -> fake_http_answer
    {
        ++state.counts.leases;
        auto ttl = numberIn(request.at("TTL"));
        auto lease = state.grantLease(wallClockNow() + seconds(ttl));
        return answerWith({ { "header", headerOf(state) }, { "ID", std::to_string(lease) }, { "TTL", std::to_string(ttl) } });
    }

    auto keepLease(fake_store_state& state, const json::object& request) -> fake_http_answer
    {
        constexpr auto keepAliveSeconds = int64_t { 10 };
        ++state.counts.leases;
        auto lease = numberIn(request.at("ID"));
        auto now = wallClockNow();
        auto isAlive = state.keepLease(lease, now + seconds(keepAliveSeconds), now);
        auto result = json::object { { "ID", std::to_string(lease) } };
        if (isAlive)
            result["TTL"] = std::to_string(keepAliveSeconds);
        return answerWith({ { "result", std::move(result) } });
    }

    auto watchKey(const std::shared_ptr<fake_store_state>& state, const json::object& request) -> fake_http_answer
    {
        ++state->counts.watches;
        auto& create = request.at("createRequest").as_object();
        auto answer = fake_http_answer {};
        auto poll = [state, key = bytesIn(create.at("key")), start = numberIn(create.at("startRevision")), isCreated = false]() mutable -> std::optional<std::string> {
            if (!isCreated) {
                isCreated = true;
                return R"({"result":{"created":true}})";
            }
            auto now = wallClockNow();
            auto isSilent = state->faults.silentWatches || now < state->faults.outageUntil;
            auto entry = state->find(key, now);
            if (isSilent || !entry || entry->modRevision < static_cast<uint64_t>(start))
                return std::nullopt;
            start = static_cast<int64_t>(entry->modRevision) + 1;
            auto event = json::object { { "kv", entryObject(*entry) } };
            return json::serialize(json::value { { "result", { { "events", json::array { std::move(event) } } } } });
        };
        answer.nextLine = std::move(poll);
        return answer;
    }

} // namespace

fake_store_server::fake_store_server(boost::asio::io_context& context, const std::string& address, uint16_t port)
    : m_state(std::make_shared<fake_store_state>())
    , m_server(context, address, port, [this](auto method, auto& target, auto& body) { return handle(method, target, body); })
{
}

auto fake_store_server::handle(boost::beast::http::verb, const fake_http_target& target, const std::string& body) -> fake_http_answer
{
    if (target.path.starts_with("/control/"))
        return control(target);
    auto now = wallClockNow();
    // During an outage the connection stays open without an answer and is closed when the outage ends.
    if (now < m_state->faults.outageUntil)
        return { 503, R"({"error":"unavailable","code":14})", m_state->faults.outageUntil - now, true };
    auto error = json::error_code {};
    auto request = json::parse(body, error);
    if (error || !request.is_object())
        return { 400, R"({"error":"malformed","code":3})" };
    auto& object = request.as_object();
    auto answer = [&]() -> fake_http_answer {
        if (target.path == "/v3/kv/range")
            return range(*m_state, object);
        if (target.path == "/v3/kv/txn")
            return transact(*m_state, object);
        if (target.path == "/v3/kv/deleterange")
            return deleteRange(*m_state, object);
        if (target.path == "/v3/lease/grant")
            return grantLease(*m_state, object);
        if (target.path == "/v3/lease/keepalive")
            return keepLease(*m_state, object);
        if (target.path == "/v3/watch")
            return watchKey(m_state, object);
        return { 404, R"({"error":"not found","code":5})" };
    }();
    answer.delay = m_state->faults.delay;
    return answer;
}

auto fake_store_server::control(const fake_http_target& target) -> fake_http_answer
{
    auto& faults = m_state->faults;
    if (target.path == "/control/outage")
        faults.outageUntil = wallClockNow() + seconds(target.number("seconds", 0));
    else if (target.path == "/control/delay")
        faults.delay = milliseconds(target.number("ms", 0));
    else if (target.path == "/control/lose_replies")
        faults.lostReplies = static_cast<uint32_t>(target.number("count", 1));
    else if (target.path == "/control/lose_requests")
        faults.lostRequests = static_cast<uint32_t>(target.number("count", 1));
    else if (target.path == "/control/silence")
        faults.silentWatches = target.number("on", 1) != 0;
    else if (target.path == "/control/snapshot")
        m_state->snapshot(target.text("name"));
    else if (target.path == "/control/restore" && !m_state->restore(target.text("name")))
        return { 404, R"({"error":"no such snapshot"})" };
    else if (target.path != "/control/restore" && target.path != "/control/counts")
        return { 404, R"({"error":"unknown control path"})" };
    auto& counts = m_state->counts;
    return answerWith({ { "gets", counts.gets }, { "swaps", counts.swaps }, { "removals", counts.removals }, { "leases", counts.leases },
        { "watches", counts.watches }, { "total", counts.total() }, { "keys", m_state->keyCount() }, { "bytes", m_state->valueBytes() } });
}

} // namespace gypsumhub
