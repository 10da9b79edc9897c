#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/selection/held_permits.h"
#include "gypsumhub/decision/selection/permit_issuer.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>
#include <variant>
#include <vector>

using namespace gypsumhub;

namespace {

constexpr auto stepTime = milliseconds(5);
constexpr auto tickTime = milliseconds(50);
constexpr auto window = seconds(4);
// From the first statement of a limit until it must hold for the whole fleet.
constexpr auto contactTime = seconds(3);

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

struct fleet_options {
    size_t nodeCount { 1 };
    double rate { 1 };
    /// Nodes whose callers send requests; all of them have more than the limit allows.
    size_t busyNodes { 1 };
    double lossShare { 0 };
    double duplicateShare { 0 };
    /// When another node becomes the issuer, and each node notices it within `noticeTime`. Alternates between two nodes.
    std::vector<time_point> issuerChanges {};
    duration noticeTime { milliseconds(1'000) };
    /// The second of these two nodes starts: it knows itself at once, while the first one is the last to know it.
    bool isSecondStarting { false };
};

// Nodes that exchange permits of one target over a network that loses, delays and duplicates datagrams.
class permit_fleet {
public:
    permit_fleet(const fleet_options& options, uint64_t seed)
        : m_options(options)
        , m_random(seed)
        , m_limit { "t", 1, options.rate, at(0) }
    {
        for (auto node = size_t { 0 }; node < options.nodeCount; ++node)
            m_nodes.emplace_back(seed + node * 1'000'003);
        m_noticedIssuer.assign(options.nodeCount, 0);
    }

    auto run(time_point end) -> void
    {
        for (auto now = at(0); now < end; now = now + stepTime) {
            noticeIssuer(now);
            deliver(now);
            if ((now - at(0)).ns % tickTime.ns == 0)
                tick(now);
            for (auto node = size_t { 0 }; node < m_options.busyNodes; ++node)
                useAndRequest(node, now);
        }
        std::ranges::sort(m_arrivals, {}, [](auto time) { return time.ns; });
    }

    auto mostInWindow(time_point from) const -> double
    {
        auto most = std::ptrdiff_t { 0 };
        auto byTime = [](auto left, auto right) { return left < right; };
        for (auto first = std::lower_bound(m_arrivals.begin(), m_arrivals.end(), from, byTime); first != m_arrivals.end(); ++first)
            most = std::max(most, std::lower_bound(first, m_arrivals.end(), *first + window, byTime) - first);
        return static_cast<double>(most);
    }

    auto arrivals(time_point from, time_point until) const -> double
    {
        return static_cast<double>(std::ranges::count_if(m_arrivals, [&](auto time) { return time >= from && time < until; }));
    }

    auto messageCount() const -> size_t { return m_messageCount; }

private:
    struct message {
        size_t receiver;
        std::variant<std::pair<size_t, permit_request>, permit_grant> content;
    };

    auto send(message sent, time_point now) -> void
    {
        ++m_messageCount;
        if (m_random.unit() < m_options.lossShare)
            return;
        auto copies = m_random.unit() < m_options.duplicateShare ? 2 : 1;
        for (auto copy = 0; copy < copies; ++copy)
            m_network.emplace((now + milliseconds(1 + static_cast<int64_t>(m_random.below(25)))).ns, sent);
    }

    auto noticeDelay(size_t node) -> duration
    {
        if (m_options.isSecondStarting && node <= 1)
            return node == 1 ? duration {} : m_options.noticeTime;
        return milliseconds(static_cast<int64_t>(m_random.below(static_cast<uint64_t>(m_options.noticeTime.milliseconds()))));
    }

    auto noticeIssuer(time_point now) -> void
    {
        for (auto change : m_options.issuerChanges) {
            if (change <= now && now < change + stepTime) {
                m_issuer = 1 - m_issuer;
                for (auto node = size_t { 0 }; node < m_nodes.size(); ++node)
                    m_noticeAt.emplace((now + noticeDelay(node)).ns, node);
            }
        }
        while (!m_noticeAt.empty() && m_noticeAt.begin()->first <= now.ns) {
            m_noticedIssuer[m_noticeAt.begin()->second] = m_issuer;
            m_noticeAt.erase(m_noticeAt.begin());
        }
    }

    auto deliver(time_point now) -> void
    {
        while (!m_network.empty() && m_network.begin()->first <= now.ns) {
            auto received = m_network.begin()->second;
            m_network.erase(m_network.begin());
            if (auto* grant = std::get_if<permit_grant>(&received.content)) {
                m_nodes[received.receiver].recordGrant(*grant, now);
                continue;
            }
            auto& [asker, request] = std::get<std::pair<size_t, permit_request>>(received.content);
            if (m_noticedIssuer[received.receiver] == received.receiver)
                send({ asker, m_issuers.at(received.receiver).grant(request, m_limit, now) }, now);
        }
    }

    auto tick(time_point now) -> void
    {
        for (auto node = size_t { 0 }; node < std::min(m_issuers.size(), m_nodes.size()); ++node)
            m_issuers.at(node).tick(now, [&](auto) { return m_noticedIssuer[node] == node; });
        for (auto& node : m_nodes)
            node.expire(now);
    }

    auto useAndRequest(size_t node, time_point now) -> void
    {
        constexpr auto waiting = size_t { 10 };
        auto& permits = m_nodes[node];
        while (permits.has("t", now)) {
            auto sendBefore = permits.consume("t", now);
            // The request is sent at once or after a connection was opened, at the latest when the permit ends.
            auto delay = m_random.unit() < 0.5 ? 0 : m_random.below(static_cast<uint64_t>((sendBefore - now).ns));
            m_arrivals.push_back(now + duration { static_cast<int64_t>(delay) });
        }
        if (now >= permits.deniedUntil("t"))
            permits.recordDemand("t", waiting);
        for (auto& demand : permits.takeDemands(now))
            send({ m_noticedIssuer[node], std::pair { node, permit_request { m_limit, {}, demand.ticket, demand.count } } }, now);
    }

    fleet_options m_options;
    random_generator m_random;
    target_limit m_limit;
    std::vector<held_permits> m_nodes;
    std::array<permit_issuer, 2> m_issuers;
    size_t m_issuer { 0 };
    /// Which node each node takes for the issuer.
    std::vector<size_t> m_noticedIssuer;
    std::multimap<int64_t, size_t> m_noticeAt;
    std::multimap<int64_t, message> m_network;
    std::vector<time_point> m_arrivals;
    size_t m_messageCount { 0 };
};

auto allowedInWindow(double rate) -> double
{
    return 1.5 * rate * window.seconds() + 5;
}

} // namespace

TEST_CASE("the nodes of a fleet together keep to a limit while datagrams are lost, late or arrive twice and the issuer changes")
{
    for (auto rate : { 0.2, 1.0, 7.5, 100.0, 400.0 }) {
        for (auto nodes : { size_t { 2 }, size_t { 40 }, size_t { 444 } }) {
            for (auto seed = uint64_t { 1 }; seed <= 3; ++seed) {
                CAPTURE(rate);
                CAPTURE(nodes);
                CAPTURE(seed);
                auto fleet = permit_fleet({ nodes, rate, nodes, 0.1, 0.1, { at(6'000), at(9'000), at(11'500) } }, seed);
                fleet.run(at(16'000));
                CHECK(fleet.mostInWindow(at(0) + contactTime) <= allowedInWindow(rate));
            }
        }
    }
}

TEST_CASE("a limit holds while a node that has just started becomes the issuer and some nodes know it seconds before others")
{
    // Readers of the registrations pause for up to 2.5 s and then send them on.
    constexpr auto noticeTime = milliseconds(3'200);
    for (auto rate : { 1.0, 10.0, 100.0, 400.0 }) {
        for (auto nodes : { size_t { 6 }, size_t { 40 } }) {
            for (auto seed = uint64_t { 1 }; seed <= 5; ++seed) {
                CAPTURE(rate);
                CAPTURE(nodes);
                CAPTURE(seed);
                auto fleet = permit_fleet({ nodes, rate, nodes, 0, 0, { at(6'000) }, noticeTime, true }, seed);
                fleet.run(at(32'000));
                CHECK(fleet.mostInWindow(at(0) + contactTime) <= allowedInWindow(rate));
                CHECK(fleet.arrivals(at(12'000), at(32'000)) >= 0.9 * rate * 20);
            }
        }
    }
}

TEST_CASE("nearly all of a limit is used, whether the requests arrive at one node or at all")
{
    for (auto rate : { 1.0, 5.0, 50.0, 300.0 }) {
        for (auto [nodes, busy] : { std::pair { 1, 1 }, { 40, 1 }, { 6, 6 }, { 40, 40 }, { 444, 444 } }) {
            CAPTURE(rate);
            CAPTURE(nodes);
            CAPTURE(busy);
            auto fleet = permit_fleet({ static_cast<size_t>(nodes), rate, static_cast<size_t>(busy) }, 5);
            fleet.run(at(23'000));
            CHECK(fleet.arrivals(at(3'000), at(23'000)) >= 0.9 * rate * 20);
        }
    }
}

TEST_CASE("denied nodes ask again at a rate that follows the limit, not the number of nodes")
{
    constexpr auto runSeconds = 20.0;
    auto messagesPerSecond = [](size_t nodes, double rate) {
        auto fleet = permit_fleet({ nodes, rate, nodes }, 9);
        fleet.run(at(static_cast<int64_t>(runSeconds * 1'000)));
        return static_cast<double>(fleet.messageCount()) / runSeconds;
    };
    // Each of 444 nodes sends a request every two seconds, which is answered.
    CHECK(messagesPerSecond(444, 1) <= 2 * (444 / 2 + 1 + 5));
    CHECK(messagesPerSecond(444, 100) <= 2 * (444 / 2 + 100 + 50));
}
