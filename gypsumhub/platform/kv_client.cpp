#include "gypsumhub/platform/kv_client.h"

#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/deadline_timer.h"
#include "gypsumhub/core/http_status.h"
#include "gypsumhub/core/store_position.h"
#include "gypsumhub/platform/wire_names.h"
#include "gypsumhub/store/base64.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace gypsumhub {

namespace {

    namespace json = boost::json;

    // A page of a listing has at most 1 MB, including the base64 overhead.
    constexpr auto maxAnswerBytes = size_t { 4 * 1024 * 1024 };
    // A parsed document occupies up to this many times the bytes of its text, a list of digits the most.
    constexpr auto maxParsedSize = size_t { 8 };
    // Time beyond the wait of a watch for its answer to arrive.
    constexpr auto watchGrace = milliseconds(1500);
    constexpr auto listPath = std::string_view { "/gypsumhub/kv-range?prefix=" };
    // Only in requests between nodes.
    constexpr auto digestsField = std::string_view { "&digests=" };
    constexpr auto watchPath = std::string_view { "/gypsumhub/kv-watch" };
    constexpr auto maxIdleTime = milliseconds(1000);
    constexpr auto maxIdleConnections = size_t { 3 };

    auto statusOf(unsigned httpStatus) -> keyspace_status
    {
        if (httpStatus == 200)
            return keyspace_status::Ok;
        if (httpStatus == 410)
            return keyspace_status::HistoryCompacted;
        return httpStatus == 404 ? keyspace_status::LeaseExpired : keyspace_status::Refused;
    }

    auto numberAt(const json::object& object, std::string_view name) -> uint64_t
    {
        auto* value = object.if_contains(name);
        auto error = error_code {};
        auto number = value ? value->to_number<uint64_t>(error) : 0;
        return error ? 0 : number;
    }

    auto textAt(const json::object& object, std::string_view name) -> std::string
    {
        auto* value = object.if_contains(name);
        return value && value->is_string() ? std::string(value->as_string()) : std::string {};
    }

    auto entryOf(const json::object& item, uint16_t era) -> store_entry
    {
        return { textAt(item, "key"), fromBase64(textAt(item, "value")).value_or(std::string {}), storePosition(era, numberAt(item, "rev")) };
    }

    auto escapeQuery(std::string_view text) -> std::string
    {
        constexpr auto plain = std::string_view { "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.~/" };
        constexpr auto digits = std::string_view { "0123456789ABCDEF" };
        auto escaped = std::string {};
        for (auto letter : text) {
            auto byte = static_cast<unsigned char>(letter);
            if (plain.find(letter) != std::string_view::npos)
                escaped += letter;
            else
                escaped.append({ '%', digits[byte >> 4], digits[byte & 15] });
        }
        return escaped;
    }

    // Nullopt for the answer of a node, whose revisions are positions already.
    auto statedEra(const http::fields& head) -> std::optional<uint16_t>
    {
        auto text = head[wire_names::storeEra];
        auto era = uint16_t { 0 };
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), era);
        return error == std::errc {} && end == text.data() + text.size() ? std::optional(era) : std::nullopt;
    }

    auto arrayAt(const json::value& body, std::string_view name) -> const json::array*
    {
        auto* object = body.if_object();
        auto* value = object ? object->if_contains(name) : nullptr;
        return value ? value->if_array() : nullptr;
    }

} // namespace

/// One HTTP connection to the store with the buffer for its answers.
struct kv_client::connection {
    explicit connection(asio::io_context& context)
        : socket(context.get_executor())
        , timer(context.get_executor())
    {
    }

    tcp_socket socket;
    deadline_timer timer;
    beast::flat_buffer buffer;
    time_point idleSince {};
};

kv_client::kv_client(asio::io_context& context, const endpoint& store, buffer_budget& budget)
    : m_context(context)
    , m_store(store)
    , m_budget(budget)
{
}

kv_client::~kv_client() = default;

auto kv_client::acquireConnection() -> std::unique_ptr<connection>
{
    // The network path may have failed unnoticed while a connection was idle.
    std::erase_if(m_idle, [now = bootClockNow()](auto& idle) { return idle->idleSince + maxIdleTime < now; });
    if (m_idle.empty())
        return std::make_unique<connection>(m_context);
    auto reused = std::move(m_idle.back());
    m_idle.pop_back();
    return reused;
}

auto kv_client::call(http::verb method, std::string path, std::string body, time_point deadline) -> task<reply>
{
    ++m_calls;
    auto calledAt = bootClockNow();
    auto isWatch = path.starts_with(watchPath);
    auto used = acquireConnection();
    // Closing the socket at the deadline ends any pending operation on it.
    used->timer.arm(deadline, [&socket = used->socket] { closeNow(socket); });
    if (!used->socket.is_open()) {
        auto address = asio::ip::make_address(m_store.address);
        auto [error] = co_await used->socket.async_connect({ address, m_store.port }, useTask);
        if (error)
            co_return reply {};
        setNoDelay(used->socket);
        setShortKeepAlive(used->socket);
    }
    auto request = http::request<http::string_body>(method, path, 11, std::move(body));
    request.set(http::field::host, formatEndpoint(m_store));
    if (!request.body().empty())
        request.set(http::field::content_type, "application/json");
    request.prepare_payload();
    auto [writeError, written] = co_await http::async_write(used->socket, request, useTask);
    if (writeError)
        co_return reply {};
    auto parser = http::response_parser<http::string_body> {};
    parser.body_limit(maxAnswerBytes);
    auto reservation = buffer_budget::reservation(m_budget, memory_use::State);
    auto readError = co_await readHttpMessage(used->socket, used->buffer, parser, reservation);
    if (readError || !isFinalStatus(parser.get().result_int()) || !reservation.resize(parser.get().body().size() * maxParsedSize))
        co_return reply {};
    used->timer.disarm();
    auto parseError = error_code {};
    auto result = reply { statusOf(parser.get().result_int()), json::parse(parser.get().body(), parseError) };
    if (parseError && result.status == keyspace_status::Ok && !parser.get().body().empty())
        result.status = keyspace_status::Refused;
    auto era = statedEra(parser.get()).value_or(m_era);
    // The answer was given before the store was restored, and may not hold any more.
    if (era < m_era)
        co_return reply {};
    m_era = era;
    result.era = era;
    used->idleSince = bootClockNow();
    if (!isWatch && result.status == keyspace_status::Ok)
        m_minCallDelay = std::min(m_minCallDelay, used->idleSince - calledAt);
    if (parser.get().keep_alive() && m_idle.size() < maxIdleConnections)
        m_idle.push_back(std::move(used));
    co_return result;
}

auto kv_client::list(std::string prefix, time_point deadline) -> task<keyspace_result<key_listing>>
{
    auto listed = co_await listPages(std::string(listPath) + escapeQuery(prefix), deadline);
    co_return listed;
}

auto kv_client::listDifference(std::string prefix, bucket_digests known, time_point deadline) -> task<keyspace_result<key_listing>>
{
    auto listed = co_await listPages(std::string(listPath) + escapeQuery(prefix) + std::string(digestsField) + known.toText(), deadline);
    co_return listed;
}

auto kv_client::listPages(std::string firstPath, time_point deadline) -> task<keyspace_result<key_listing>>
{
    auto result = keyspace_result<key_listing> { keyspace_status::Ok };
    auto reservation = buffer_budget::reservation(m_budget, memory_use::State);
    auto listedBytes = size_t { 0 };
    auto after = std::string {};
    auto firstEra = std::optional<uint16_t> {};
    for (auto hasMore = true; hasMore;) {
        auto path = firstPath;
        if (!after.empty())
            path += "&after=" + escapeQuery(after);
        auto page = co_await call(http::verb::get, std::move(path), {}, deadline);
        auto* items = arrayAt(page.body, "items");
        if (page.status != keyspace_status::Ok || !items)
            co_return keyspace_result<key_listing> { page.status == keyspace_status::Ok ? keyspace_status::Refused : page.status };
        for (auto& item : *items) {
            if (!item.is_object())
                continue;
            auto& entry = result.value.entries.emplace_back(entryOf(item.as_object(), page.era));
            listedBytes += sizeof(entry) + entry.key.size() + entry.value.size();
        }
        if (!reservation.resize(listedBytes))
            co_return keyspace_result<key_listing> { keyspace_status::Refused };
        auto& body = page.body.as_object();
        auto position = storePosition(page.era, numberAt(body, "store_revision"));
        // Later pages may be newer. Watching from the revision of the first page delivers everything that changed since then.
        if (result.value.revision == 0)
            result.value.revision = position;
        if (page.era != firstEra.value_or(page.era))
            co_return keyspace_result<key_listing> { keyspace_status::Refused };
        firstEra = page.era;
        if (auto buckets = parseBuckets(textAt(body, "buckets")))
            result.value.buckets = *buckets;
        auto* more = body.if_contains("has_more");
        hasMore = more && more->is_bool() && more->as_bool() && !result.value.entries.empty();
        // A page begins behind the last key of the one before; any other would make the listing endless.
        if (hasMore && result.value.entries.back().key <= after)
            co_return keyspace_result<key_listing> { keyspace_status::Refused };
        if (hasMore)
            after = result.value.entries.back().key;
    }
    co_return result;
}

auto formatListing(const key_listing& listing) -> std::string
{
    auto items = json::array {};
    for (auto& entry : listing.entries)
        items.push_back(json::object { { "key", entry.key }, { "value", toBase64(entry.value) }, { "rev", entry.modRevision } });
    return json::serialize(json::object { { "items", items }, { "has_more", false }, { "store_revision", listing.revision },
        { "buckets", formatBuckets(listing.buckets) } });
}

auto readListingQuery(std::string_view target) -> std::optional<listing_query>
{
    if (!target.starts_with(listPath))
        return std::nullopt;
    auto query = target.substr(listPath.size());
    auto end = query.find(digestsField);
    if (end == std::string_view::npos)
        return listing_query { std::string(query), {} };
    auto known = bucket_digests::parse(query.substr(end + digestsField.size()));
    return known ? std::optional(listing_query { std::string(query.substr(0, end)), *known }) : std::nullopt;
}

auto kv_client::follow(std::string prefix, uint64_t revision, time_point waitUntil) -> task<keyspace_result<key_changes>>
{
    auto wait = std::max<int64_t>((waitUntil - bootClockNow()).milliseconds(), 1);
    auto path = std::string(watchPath) + "?prefix=" + escapeQuery(prefix) + "&after=" + std::to_string(revisionOf(revision)) + "&wait_ms=" + std::to_string(wait);
    auto answer = co_await call(http::verb::get, std::move(path), {}, waitUntil + watchGrace);
    auto result = keyspace_result<key_changes> { answer.status };
    auto* events = arrayAt(answer.body, "events");
    if (answer.status != keyspace_status::Ok)
        co_return result;
    // New writes of a restored store may have passed the old position, so that the store finds nothing wrong with it.
    if (answer.era != eraOf(revision)) {
        result.status = keyspace_status::HistoryCompacted;
        co_return result;
    }
    if (!events) {
        result.status = keyspace_status::Refused;
        co_return result;
    }
    for (auto& event : *events) {
        if (!event.is_object())
            continue;
        auto* removed = event.as_object().if_contains("deleted");
        result.value.changes.push_back({ entryOf(event.as_object(), answer.era), removed && removed->is_bool() && removed->as_bool() });
    }
    result.value.revision = std::max(storePosition(answer.era, numberAt(answer.body.as_object(), "store_revision")), revision);
    co_return result;
}

auto kv_client::grantLease(duration ttl, time_point deadline) -> task<keyspace_result<uint64_t>>
{
    auto body = json::object { { "lease_ttl", std::to_string(ttl.milliseconds()) + "ms" } };
    auto answer = co_await call(http::verb::post, "/gypsumhub/kv-lease", json::serialize(body), deadline);
    auto* granted = answer.body.if_object();
    if (answer.status != keyspace_status::Ok || !granted)
        co_return keyspace_result<uint64_t> { answer.status };
    co_return keyspace_result<uint64_t> { keyspace_status::Ok, numberAt(*granted, "lease") };
}

auto kv_client::renewLease(uint64_t lease, time_point deadline) -> task<keyspace_status>
{
    auto answer = co_await call(http::verb::post, "/gypsumhub/kv-keep/" + std::to_string(lease), {}, deadline);
    co_return answer.status;
}

auto kv_client::endLease(uint64_t lease, time_point deadline) -> task<keyspace_status>
{
    auto answer = co_await call(http::verb::delete_, "/gypsumhub/kv-lease-end/" + std::to_string(lease), {}, deadline);
    co_return answer.status;
}

auto kv_client::put(std::string key, std::string value, uint64_t lease, time_point deadline) -> task<keyspace_status>
{
    auto write = json::object { { "key", key }, { "value", toBase64(value) }, { "lease", lease } };
    auto body = json::object { { "expected", json::array {} }, { "puts", json::array { write } }, { "remove", json::array {} } };
    auto answer = co_await call(http::verb::post, "/gypsumhub/kv-txn", json::serialize(body), deadline);
    co_return answer.status;
}

auto kv_client::leaseOf(std::string key, time_point deadline) -> task<keyspace_result<uint64_t>>
{
    auto answer = co_await call(http::verb::get, "/gypsumhub/kv-key?key=" + escapeQuery(key), {}, deadline);
    auto* item = answer.body.if_object();
    // 404: the key is absent.
    if (answer.status == keyspace_status::LeaseExpired)
        co_return keyspace_result<uint64_t> { keyspace_status::Ok, 0 };
    if (answer.status != keyspace_status::Ok || !item)
        co_return keyspace_result<uint64_t> { answer.status == keyspace_status::Ok ? keyspace_status::Refused : answer.status };
    co_return keyspace_result<uint64_t> { keyspace_status::Ok, numberAt(*item, "lease") };
}

} // namespace gypsumhub
