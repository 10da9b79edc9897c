#pragma once

#include "gypsumhub/decision/selection/configuration_freshness.h"
#include "gypsumhub/decision/selection/confirmation_inquiry.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace gypsumhub {

/// A fleet of nodes in data centres that keep their configuration confirmed, with a store and a network in virtual time.
class confirmation_fleet {
public:
    struct node {
        configuration_freshness freshness;
        confirmation_inquiry inquiry;
        size_t dataCentre;
        time_point nextHello {};
        time_point watchSentAt {};
        time_point frozenUntil {};
        bool isWatching { false };
        struct heard {
            duration age { unconfirmedAge };
            time_point at { -seconds(1000).ns };
        };
        std::vector<heard> hellos;
    };

    confirmation_fleet(uint64_t seed, size_t count, size_t dataCentres, duration revocationLimit = seconds(5))
        : limit(revocationLimit)
        , m_random(seed)
    {
        for (auto index = size_t { 0 }; index < count; ++index) {
            names.push_back("n" + std::to_string(10'000 + index));
            nodes.push_back(makeNode(index * dataCentres / count, count));
        }
        publish();
        for (auto& each : nodes)
            each.freshness.adopt(version);
    }

    auto publish() -> void { published[++version] = now; }
    auto restart(size_t index) -> void
    {
        nodes[index] = makeNode(nodes[index].dataCentre, nodes.size());
        // From another node that lags behind.
        nodes[index].freshness.adopt(version > 1 ? version - 1 : version);
    }
    auto freeze(size_t index, duration length) -> void { nodes[index].frozenUntil = now + length; }
    auto accepts(size_t index) const -> bool { return nodes[index].freshness.accepts(now, limit); }
    /// Nodes that would serve a request with a key that was removed longer ago than the limit.
    auto violations() const -> size_t
    {
        auto required = uint64_t { 0 };
        for (auto& [number, at] : published)
            required = now > at + limit ? number : required;
        return static_cast<size_t>(std::ranges::count_if(nodes, [&](auto& each) { return now >= each.frozenUntil && each.freshness.accepts(now, limit) && each.freshness.version() < required; }));
    }

    /// Calls `check` after each step.
    auto run(duration length, const std::function<void()>& check) -> void
    {
        for (auto until = now + length; now < until; now = now + milliseconds(10)) {
            deliver();
            for (auto index = size_t { 0 }; index < nodes.size(); ++index) {
                if (now >= nodes[index].frozenUntil)
                    step(index);
            }
            check();
        }
    }

    const duration limit;
    std::vector<std::string> names;
    std::vector<node> nodes;
    uint64_t version { 0 };
    std::map<uint64_t, time_point> published;
    time_point now { seconds(100).ns };
    double loss { 0 }, duplication { 0 };
    duration maxDelay { milliseconds(60) };
    std::set<size_t> withoutStore;
    std::function<bool(size_t, size_t)> reaches { [](size_t, size_t) { return true; } };
    size_t storeReads { 0 };
    /// By node: how often it read the store to confirm its configuration.
    std::map<size_t, size_t> readsBy;
    /// By node: how often it was asked.
    std::map<size_t, size_t> asked;

private:
    struct message {
        enum class kind : uint8_t { Hello,
            Request,
            Answer } what;
        size_t from, to;
        uint64_t ticket, version;
        duration age;
    };

    auto makeNode(size_t dataCentre, size_t count) -> node
    {
        auto made = node { {}, confirmation_inquiry(m_random(), confirmation_timing::forLimit(limit)), dataCentre };
        made.nextHello = now + duration { static_cast<int64_t>(m_random.below(static_cast<uint64_t>(milliseconds(400).ns))) };
        made.hellos.resize(count);
        return made;
    }
    auto isRecent(const node& own, size_t other) const -> bool { return now <= own.hellos[other].at + milliseconds(1300); }
    auto ageOf(const node& own, size_t other) const -> duration
    {
        auto& hello = own.hellos[other];
        return isRecent(own, other) && hello.age != unconfirmedAge ? hello.age + (now - hello.at) : unconfirmedAge;
    }
    auto isFirst(size_t index) const -> bool
    {
        for (auto other = size_t { 0 }; other < index; ++other) {
            if (nodes[other].dataCentre == nodes[index].dataCentre && isRecent(nodes[index], other))
                return false;
        }
        return true;
    }

    auto send(message sent) -> void
    {
        auto copies = m_random.unit() < duplication ? 2 : 1;
        for (; copies > 0; --copies) {
            if (m_random.unit() >= loss && reaches(sent.from, sent.to))
                m_messages.emplace(now + duration { static_cast<int64_t>(m_random.below(static_cast<uint64_t>(maxDelay.ns))) }, sent);
        }
    }
    auto deliver() -> void
    {
        while (!m_messages.empty() && m_messages.begin()->first <= now) {
            auto received = m_messages.begin()->second;
            m_messages.erase(m_messages.begin());
            auto& to = nodes[received.to];
            // Waits in the socket's buffer.
            if (now < to.frozenUntil)
                m_messages.emplace(to.frozenUntil, received);
            else
                handle(to, received);
        }
    }
    auto handle(node& to, const message& received) -> void
    {
        if (received.what == message::kind::Hello) {
            to.hellos[received.from] = { received.age, now };
            // Listing the newer version takes a while.
            if (received.version > to.freshness.version() && m_random.unit() < 0.5)
                to.freshness.adopt(received.version);
        } else if (received.what == message::kind::Request) {
            ++asked[received.to];
            auto age = to.freshness.age(now);
            if (age != unconfirmedAge)
                send({ message::kind::Answer, received.to, received.from, received.ticket, to.freshness.version(), age });
        } else if (auto sentAt = to.inquiry.sentAt(received.ticket)) {
            to.freshness.recordClaim(received.version, *sentAt - received.age);
            to.inquiry.recordAnswer(received.ticket, to.freshness.age(now), now);
        }
    }

    auto step(size_t index) -> void
    {
        auto& own = nodes[index];
        watchStore(index);
        if (now >= own.nextHello) {
            own.nextHello = now + milliseconds(400);
            auto first = isFirst(index);
            for (auto other = size_t { 0 }, remote = size_t { 0 }; other < nodes.size(); ++other) {
                auto isLocal = nodes[other].dataCentre == own.dataCentre;
                auto isUpstream = first && own.dataCentre != 0 && nodes[other].dataCentre == 0 && remote++ < 2;
                if (other != index && (isLocal || isUpstream || (own.dataCentre == 0 && isRecent(own, other))))
                    send({ message::kind::Hello, index, other, 0, own.freshness.version(), own.freshness.age(now) });
            }
        }
        if (now < own.inquiry.dueAt())
            return;
        auto sources = std::vector<confirmation_source> {};
        for (auto other = size_t { 0 }; other < nodes.size(); ++other) {
            if (other != index)
                sources.push_back({ names[other], nodes[other].dataCentre == own.dataCentre, isRecent(own, other), ageOf(own, other) });
        }
        auto next = own.inquiry.next({ own.freshness.age(now), own.isWatching, own.dataCentre != 0 && isFirst(index) }, sources, now);
        if (next.kind == confirmation_inquiry::step_kind::AskNode)
            send({ message::kind::Request, index, std::stoul(next.node.substr(1)) - 10'000, next.ticket, 0, {} });
        else if (next.kind == confirmation_inquiry::step_kind::AskStore) {
            ++storeReads;
            ++readsBy[index];
            readStore(index, now);
        }
    }
    auto readStore(size_t index, time_point at) -> void
    {
        if (withoutStore.contains(index))
            return;
        nodes[index].freshness.adopt(version);
        nodes[index].freshness.confirm(at);
    }
    /// The first two nodes of the first data centre watch; the next ones take over when their confirmations are old.
    auto watchStore(size_t index) -> void
    {
        auto& own = nodes[index];
        auto preceding = 0;
        for (auto other = size_t { 0 }; other < index; ++other)
            preceding += ageOf(own, other) < milliseconds(1500) ? 1 : 0;
        own.isWatching = own.dataCentre == 0 && preceding < 2;
        if (!own.isWatching || now < own.watchSentAt + milliseconds(900))
            return;
        if (own.watchSentAt > now - milliseconds(1100))
            readStore(index, own.watchSentAt + milliseconds(900));
        own.watchSentAt = now;
    }

    random_generator m_random;
    std::multimap<time_point, message> m_messages;
};

} // namespace gypsumhub
