#include "fakes/fake_keyspace_server.h"

#include "gypsumhub/store/base64.h"

#include <boost/json.hpp>

namespace gypsumhub {

namespace {

    namespace json = boost::json;

    // A watch without news answers so soon, which spares the stand-in a list of waiting watches.
    constexpr auto emptyWatchDelay = milliseconds(30);

    auto itemOf(const std::string& key, const std::string& value, uint64_t revision) -> json::object
    {
        return { { "key", key }, { "value", toBase64(value) }, { "rev", revision } };
    }

} // namespace

fake_keyspace_server::fake_keyspace_server(const std::string& address)
    : m_work(boost::asio::make_work_guard(m_context))
    , m_server(m_context, address, 0, [this](auto, const fake_http_target& target, const std::string& body) { return answer(target, body); })
    , m_thread([this] { m_context.run(); })
{
}

fake_keyspace_server::~fake_keyspace_server()
{
    m_context.stop();
    m_thread.join();
}

auto fake_keyspace_server::put(const std::string& key, std::string value) -> void
{
    auto lock = std::lock_guard(m_mutex);
    m_entries[key] = { std::move(value), ++m_revision };
    m_changes.push_back({ key, m_entries[key], false });
}

auto fake_keyspace_server::remove(const std::string& key) -> void
{
    auto lock = std::lock_guard(m_mutex);
    m_entries.erase(key);
    m_changes.push_back({ key, { {}, ++m_revision }, true });
}

auto fake_keyspace_server::setAway(bool away) -> void
{
    auto lock = std::lock_guard(m_mutex);
    m_isAway = away;
}

auto fake_keyspace_server::keys(std::string_view prefix) -> std::vector<std::string>
{
    auto lock = std::lock_guard(m_mutex);
    auto found = std::vector<std::string> {};
    for (auto& [key, held] : m_entries) {
        if (key.starts_with(prefix))
            found.push_back(key);
    }
    return found;
}

auto fake_keyspace_server::answer(const fake_http_target& target, const std::string& body) -> fake_http_answer
{
    auto lock = std::unique_lock(m_mutex);
    auto made = fake_http_answer {};
    if (m_isAway) {
        made.closes = true;
        return made;
    }
    if (target.path == "/gypsumhub/kv-range")
        made.body = answerRange(target);
    else if (target.path == "/gypsumhub/kv-watch")
        made = answerWatch(target);
    else if (target.path == "/gypsumhub/kv-lease")
        made.body = R"({"lease":1,"lease_ttl":"5s"})";
    else if (target.path == "/gypsumhub/kv-txn") {
        lock.unlock();
        write(body);
        made.body = "{}";
    } else
        made.body = "{}";
    return made;
}

auto fake_keyspace_server::answerRange(const fake_http_target& target) -> std::string
{
    auto items = json::array {};
    for (auto& [key, held] : m_entries) {
        if (key.starts_with(target.text("prefix")))
            items.push_back(itemOf(key, held.value, held.revision));
    }
    return json::serialize(json::object { { "items", items }, { "has_more", false }, { "store_revision", m_revision } });
}

auto fake_keyspace_server::answerWatch(const fake_http_target& target) -> fake_http_answer
{
    auto events = json::array {};
    auto after = static_cast<uint64_t>(target.number("after", 0));
    for (auto& change : m_changes) {
        if (change.written.revision <= after || !change.key.starts_with(target.text("prefix")))
            continue;
        if (change.isRemoval)
            events.push_back(json::object { { "key", change.key }, { "rev", change.written.revision }, { "deleted", true } });
        else
            events.push_back(itemOf(change.key, change.written.value, change.written.revision));
    }
    auto made = fake_http_answer {};
    made.delay = events.empty() ? emptyWatchDelay : duration {};
    made.body = json::serialize(json::object { { "events", events }, { "store_revision", m_revision } });
    return made;
}

auto fake_keyspace_server::write(const std::string& body) -> void
{
    auto document = json::parse(body);
    for (auto& write : document.at("puts").as_array())
        put(json::value_to<std::string>(write.at("key")), fromBase64(json::value_to<std::string>(write.at("value"))).value_or(""));
}

} // namespace gypsumhub
