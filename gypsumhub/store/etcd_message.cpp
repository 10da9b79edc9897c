#include "gypsumhub/store/etcd_message.h"

#include "gypsumhub/store/base64.h"

#include <boost/json.hpp>
#include <charconv>
#include <utility>

namespace gypsumhub::etcd {

namespace json = boost::json;

namespace {

    auto malformed(std::string_view what) -> leaf::error_id
    {
        return failWith({ result_code::StoreProtocolError, "the store's answer to '" + std::string(what) + "' is malformed" });
    }

    auto parseObject(std::string_view body) -> std::optional<json::object>
    {
        auto error = json::error_code {};
        auto value = json::parse(json::string_view(body.data(), body.size()), error);
        if (error || !value.is_object())
            return std::nullopt;
        return std::move(value.as_object());
    }

    auto childObject(const json::object& parent, std::string_view name) -> const json::object*
    {
        auto* value = parent.if_contains(name);
        return value ? value->if_object() : nullptr;
    }

    /// A 64-bit number, which the mapping encodes as a string; 0 when absent, since the mapping omits zeros.
    auto numberOf(const json::object& parent, std::string_view name) -> int64_t
    {
        auto* value = parent.if_contains(name);
        if (!value)
            return 0;
        if (auto* number = value->if_int64())
            return *number;
        auto* text = value->if_string();
        auto number = int64_t { 0 };
        if (text)
            std::from_chars(text->data(), text->data() + text->size(), number);
        return number;
    }

    auto bytesOf(const json::object& parent, std::string_view name) -> std::optional<std::string>
    {
        auto* value = parent.if_contains(name);
        if (!value)
            return std::string {};
        auto* text = value->if_string();
        return text ? fromBase64({ text->data(), text->size() }) : std::nullopt;
    }

    auto readEntry(const json::object& source) -> std::optional<store_entry>
    {
        auto key = bytesOf(source, "key");
        auto value = bytesOf(source, "value");
        auto revision = numberOf(source, "mod_revision");
        if (!key || !value || revision <= 0)
            return std::nullopt;
        return store_entry { std::move(*key), std::move(*value), static_cast<uint64_t>(revision) };
    }

    auto toText(json::object object) -> std::string
    {
        return json::serialize(json::value(std::move(object)));
    }

} // namespace

auto rangeRequest(std::string_view key) -> std::string
{
    return toText({ { "key", toBase64(key) } });
}

auto putIfRequest(std::string_view key, uint64_t expectedRevision, std::string_view value, int64_t lease) -> std::string
{
    auto encodedKey = toBase64(key);
    auto compare = json::object { { "key", encodedKey }, { "target", "MOD" }, { "result", "EQUAL" }, { "modRevision", std::to_string(expectedRevision) } };
    auto put = json::object { { "key", encodedKey }, { "value", toBase64(value) } };
    if (lease != 0)
        put["lease"] = std::to_string(lease);
    auto operation = json::object { { "requestPut", std::move(put) } };
    return toText({ { "compare", json::array { std::move(compare) } }, { "success", json::array { std::move(operation) } } });
}

auto deleteRequest(std::string_view key) -> std::string
{
    return toText({ { "key", toBase64(key) } });
}

auto leaseGrantRequest(int64_t ttlSeconds) -> std::string
{
    return toText({ { "TTL", std::to_string(ttlSeconds) } });
}

auto leaseKeepAliveRequest(int64_t lease) -> std::string
{
    return toText({ { "ID", std::to_string(lease) } });
}

auto watchRequest(std::string_view key, uint64_t startRevision) -> std::string
{
    auto create = json::object { { "key", toBase64(key) }, { "startRevision", std::to_string(startRevision) } };
    return toText({ { "createRequest", std::move(create) } });
}

auto readRange(std::string_view body) -> leaf::result<std::optional<store_entry>>
{
    auto object = parseObject(body);
    if (!object)
        return malformed("range");
    auto* entries = object->if_contains("kvs");
    if (!entries)
        return std::optional<store_entry> {};
    auto* list = entries->if_array();
    if (!list)
        return malformed("range");
    if (list->empty())
        return std::optional<store_entry> {};
    auto* first = list->front().if_object();
    auto entry = first ? readEntry(*first) : std::nullopt;
    if (!entry)
        return malformed("range");
    return entry;
}

auto readPutIf(std::string_view body) -> leaf::result<put_reply>
{
    auto object = parseObject(body);
    auto* header = object ? childObject(*object, "header") : nullptr;
    if (!header)
        return malformed("txn");
    auto* succeeded = object->if_contains("succeeded");
    auto* flag = succeeded ? succeeded->if_bool() : nullptr;
    auto revision = numberOf(*header, "revision");
    if ((succeeded && !flag) || revision <= 0)
        return malformed("txn");
    return put_reply { flag && *flag, static_cast<uint64_t>(revision) };
}

auto readLeaseGrant(std::string_view body) -> leaf::result<lease_reply>
{
    auto object = parseObject(body);
    if (!object || numberOf(*object, "ID") == 0)
        return malformed("lease grant");
    return lease_reply { numberOf(*object, "ID"), numberOf(*object, "TTL") };
}

auto readLeaseKeepAlive(std::string_view line) -> leaf::result<lease_reply>
{
    auto object = parseObject(line);
    auto* result = object ? childObject(*object, "result") : nullptr;
    if (!result)
        return malformed("lease keepalive");
    return lease_reply { numberOf(*result, "ID"), numberOf(*result, "TTL") };
}

auto readWatchLine(std::string_view line) -> leaf::result<std::optional<store_entry>>
{
    auto object = parseObject(line);
    auto* result = object ? childObject(*object, "result") : nullptr;
    if (!result || result->contains("canceled"))
        return malformed("watch");
    auto* events = result->if_contains("events");
    auto* list = events ? events->if_array() : nullptr;
    if (!list || list->empty())
        return std::optional<store_entry> {};
    // Events are in order, so the last one is the newest.
    auto* newest = list->back().if_object();
    auto* pair = newest ? childObject(*newest, "kv") : nullptr;
    auto entry = pair ? readEntry(*pair) : std::nullopt;
    if (!entry)
        return malformed("watch");
    return entry;
}

} // namespace gypsumhub::etcd
