#include "fakes/fake_keyspace_server.h"

#include "gypsumhub/store/base64.h"

#include <algorithm>
#include <boost/json.hpp>

namespace gypsumhub {

namespace {

    namespace json = boost::json;

    // A watch without changes is answered after this delay, so the fake needs no list of pending watches.
    constexpr auto emptyWatchDelay = milliseconds(30);

    // Longer than any test: the answer never arrives.
    constexpr auto lostAnswerDelay = seconds(600);

    auto itemOf(const std::string& key, const std::string& value, uint64_t revision) -> json::object
    {
        return { { "key", key }, { "value", toBase64(value) }, { "rev", revision } };
    }

} // namespace

fake_keyspace_server::fake_keyspace_server(const std::string& address)
    : m_address(address)
    , m_workGuard(boost::asio::make_work_guard(m_context))
    , m_server(m_context, address, 0, [this](auto, const fake_http_target& target, const std::string& body) { return answer(target, body); })
    , m_thread([this] { m_context.run(); })
{
}

fake_keyspace_server::~fake_keyspace_server()
{
    m_context.stop();
    m_thread.join();
}

auto fake_keyspace_server::portOf(size_t node) -> uint16_t
{
    while (m_doors.size() <= node) {
        auto added = std::make_unique<door>();
        added->server = std::make_unique<fake_http_server>(m_context, m_address, 0, [this, opened = added.get()](auto, const fake_http_target& target, const std::string& body) {
            if (opened->isSilent)
                return fake_http_answer { .delay = lostAnswerDelay };
            return opened->isTurnedAway ? fake_http_answer { .status = 503 } : answer(target, body);
        });
        m_doors.push_back(std::move(added));
    }
    return m_doors[node]->server->port();
}

auto fake_keyspace_server::setTurnedAway(size_t node, bool isTurnedAway) -> void
{
    portOf(node);
    m_doors[node]->isTurnedAway = isTurnedAway;
}

auto fake_keyspace_server::setSilent(size_t node, bool isSilent) -> void
{
    portOf(node);
    m_doors[node]->isSilent = isSilent;
}

auto fake_keyspace_server::put(const std::string& key, std::string value) -> void
{
    auto lock = std::lock_guard(m_mutex);
    putEntry(key, std::move(value), 0);
}

auto fake_keyspace_server::putEntry(const std::string& key, std::string value, uint64_t lease) -> void
{
    m_content.entries[key] = { std::move(value), ++m_content.revision, lease };
    m_content.changes.push_back({ key, m_content.entries[key], false });
}

auto fake_keyspace_server::remove(const std::string& key) -> void
{
    auto lock = std::lock_guard(m_mutex);
    removeEntry(key);
}

auto fake_keyspace_server::removeEntry(const std::string& key) -> void
{
    m_content.entries.erase(key);
    m_content.changes.push_back({ key, { {}, ++m_content.revision }, true });
}

auto fake_keyspace_server::endLeases() -> void
{
    auto lock = std::lock_guard(m_mutex);
    m_content.oldestLease = m_content.newestLease + 1;
    auto ended = std::vector<std::string> {};
    for (auto& [key, stored] : m_content.entries) {
        if (stored.lease != 0)
            ended.push_back(key);
    }
    for (auto& key : ended)
        removeEntry(key);
}

auto fake_keyspace_server::saveCopy() -> void
{
    auto lock = std::lock_guard(m_mutex);
    m_copy = m_content;
}

auto fake_keyspace_server::restoreCopy() -> void
{
    auto lock = std::lock_guard(m_mutex);
    m_content = m_copy;
    ++m_era;
}

auto fake_keyspace_server::setUnavailable(bool unavailable) -> void
{
    auto lock = std::lock_guard(m_mutex);
    m_isUnavailable = unavailable;
}

auto fake_keyspace_server::loseWatchAnswers(std::string prefix) -> void
{
    auto lock = std::lock_guard(m_mutex);
    m_lostPrefix = std::move(prefix);
}

auto fake_keyspace_server::lostAnswers() -> int
{
    auto lock = std::lock_guard(m_mutex);
    return m_lostAnswers;
}

auto fake_keyspace_server::keys(std::string_view prefix) -> std::vector<std::string>
{
    auto lock = std::lock_guard(m_mutex);
    auto found = std::vector<std::string> {};
    for (auto& [key, stored] : m_content.entries) {
        if (key.starts_with(prefix))
            found.push_back(key);
    }
    return found;
}

auto fake_keyspace_server::answer(const fake_http_target& target, const std::string& body) -> fake_http_answer
{
    auto lock = std::lock_guard(m_mutex);
    auto response = fake_http_answer {};
    if (m_isUnavailable) {
        response.closes = true;
        return response;
    }
    if (target.path == "/gypsumhub/kv-range")
        response.body = answerRange(target);
    else if (target.path == "/gypsumhub/kv-key")
        response = answerKey(target);
    else if (target.path == "/gypsumhub/kv-watch")
        response = answerWatch(target);
    else if (target.path == "/gypsumhub/kv-lease")
        response.body = R"({"lease":)" + std::to_string(++m_content.newestLease) + R"(,"lease_ttl":"5s"})";
    else {
        response.body = "{}";
        constexpr auto renewal = std::string_view { "/gypsumhub/kv-keep/" };
        auto isEnded = target.path.starts_with(renewal) && !holdsLease(std::stoull(target.path.substr(renewal.size())));
        if (isEnded || (target.path == "/gypsumhub/kv-txn" && !write(body)))
            response.status = 404;
    }
    response.fields = { { "Store-Era", std::to_string(m_era) } };
    return response;
}

auto fake_keyspace_server::holdsLease(uint64_t lease) const -> bool
{
    return lease >= m_content.oldestLease && lease <= m_content.newestLease;
}

auto fake_keyspace_server::answerKey(const fake_http_target& target) -> fake_http_answer
{
    auto found = m_content.entries.find(target.text("key"));
    if (found == m_content.entries.end())
        return { 404, "{}" };
    auto item = itemOf(found->first, found->second.value, found->second.revision);
    item["lease"] = found->second.lease;
    return { 200, json::serialize(item) };
}

auto fake_keyspace_server::answerRange(const fake_http_target& target) -> std::string
{
    auto items = json::array {};
    for (auto& [key, stored] : m_content.entries) {
        if (key.starts_with(target.text("prefix")))
            items.push_back(itemOf(key, stored.value, stored.revision));
    }
    return json::serialize(json::object { { "items", items }, { "has_more", false }, { "store_revision", m_content.revision } });
}

auto fake_keyspace_server::answerWatch(const fake_http_target& target) -> fake_http_answer
{
    auto events = json::array {};
    auto after = static_cast<uint64_t>(target.number("after", 0));
    if (after > m_content.revision)
        return { 410, "{}" };
    for (auto& change : m_content.changes) {
        if (change.written.revision <= after || !change.key.starts_with(target.text("prefix")))
            continue;
        if (change.isRemoval)
            events.push_back(json::object { { "key", change.key }, { "rev", change.written.revision }, { "deleted", true } });
        else
            events.push_back(itemOf(change.key, change.written.value, change.written.revision));
    }
    auto response = fake_http_answer {};
    response.delay = events.empty() ? emptyWatchDelay : duration {};
    if (!events.empty() && target.text("prefix") == m_lostPrefix) {
        ++m_lostAnswers;
        response.delay = lostAnswerDelay;
    }
    response.body = json::serialize(json::object { { "events", events }, { "store_revision", m_content.revision } });
    return response;
}

auto fake_keyspace_server::write(const std::string& body) -> bool
{
    auto document = json::parse(body);
    auto& puts = document.at("puts").as_array();
    auto leaseOf = [](const json::value& put) { return put.as_object().contains("lease") ? put.at("lease").to_number<uint64_t>() : 0; };
    if (std::ranges::any_of(puts, [&](auto& put) { return leaseOf(put) != 0 && !holdsLease(leaseOf(put)); }))
        return false;
    for (auto& put : puts)
        putEntry(json::value_to<std::string>(put.at("key")), fromBase64(json::value_to<std::string>(put.at("value"))).value_or(""), leaseOf(put));
    return true;
}

} // namespace gypsumhub
