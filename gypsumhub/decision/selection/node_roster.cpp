#include "gypsumhub/decision/selection/node_roster.h"

#include "gypsumhub/core/hash.h"
#include "gypsumhub/decision/selection/reading_pace.h"

#include <algorithm>
#include <tuple>

namespace gypsumhub {

namespace {

    // Three hellos in a row were lost or the node is gone.
    constexpr auto silenceLimit = milliseconds(1300);
    // A reader whose last contact with the store is older hands over to the next one.
    constexpr auto readerAgeLimit = milliseconds(1300);
    static_assert(reading_pace::oldestView < readerAgeLimit, "a reader would lose its role in any quiet second");
    // Where registrations come through a feeder they are one interval between hellos older.
    constexpr auto fedReaderAgeLimit = milliseconds(1800);
    // A store that another node reaches so much faster is in another region.
    constexpr auto distantStore = milliseconds(10);
    // The first node of a data centre learns of the others and says its first hellos to them in this time.
    constexpr auto presumption = milliseconds(2000);
    // A node whose link is no larger than others' tells so many: three listings of 60 KB take 10 Mbit/s a seventh of a second.
    constexpr auto startBranches = size_t { 3 };
    // Callers take no more addresses from one answer of the directory.
    constexpr auto mostGroupNodes = size_t { 64 };
    // Nodes near the store that a distant one says hello to, so that it can be fed.
    constexpr auto mostFeeders = size_t { 2 };

} // namespace

node_roster::node_roster(node_registration own)
    : m_own(std::move(own))
{
}

auto node_roster::noteRegistered(const node_registration& registration) -> void
{
    if (registration.name == m_own.name)
        return;
    auto& entry = m_nodes[registration.name];
    entry.registration = registration;
    entry.hello.name = registration.name;
}

auto node_roster::noteUnregistered(std::string_view name, time_point now) -> void
{
    auto found = m_nodes.find(name);
    if (found == m_nodes.end())
        return;
    auto isNear = found->second.registration.dataCentre == m_own.dataCentre;
    if (!isNear || !isAlive(found->second, now))
        m_nodes.erase(found);
}

auto node_roster::noteHello(const node_hello& hello, time_point now) -> void
{
    auto found = m_nodes.find(hello.name);
    if (found == m_nodes.end())
        return;
    found->second.hello = hello;
    found->second.heardAt = now;
    found->second.isHeard = true;
}

auto node_roster::setOwn(bool isReady, bool isLeaving) -> void
{
    m_isReady = isReady;
    m_isLeaving = isLeaving;
}

auto node_roster::isAlive(const node& other, time_point now) const -> bool
{
    // Nodes of other data centres say nothing to this one; their lease in the store speaks for them.
    if (other.registration.dataCentre != m_own.dataCentre)
        return true;
    return isHeard(other, now);
}

auto node_roster::group(std::string_view host, std::string_view dataCentre, const group_goal& goal, time_point now) const -> std::vector<endpoint>
{
    struct candidate {
        bool isSmall;
        uint64_t rank;
        const node_registration* node;
    };
    auto hostHash = hashName(host);
    auto candidates = std::vector<candidate> {};
    auto collect = [&](auto&& accept) {
        auto add = [&](const node_registration& node) {
            candidates.push_back({ !node.size.covers(goal.size), mixHashes(hostHash, hashName(node.name)), &node });
        };
        if (m_isReady && !m_isLeaving && accept(m_own))
            add(m_own);
        for (auto& [name, other] : m_nodes) {
            if (accept(other.registration) && isAlive(other, now))
                add(other.registration);
        }
    };
    collect([&](const node_registration& node) { return node.dataCentre == dataCentre; });
    if (candidates.empty())
        collect([](const node_registration&) { return true; });
    std::ranges::sort(candidates, {}, [](auto& entry) { return std::tuple(entry.isSmall, entry.rank); });
    auto addresses = std::vector<endpoint> {};
    auto together = node_size {};
    for (auto& entry : candidates) {
        auto isEnough = addresses.size() >= goal.nodes && together.covers(goal.size);
        if (isEnough || addresses.size() == mostGroupNodes)
            break;
        addresses.push_back(entry.node->callerAddress);
        together += entry.node->size;
    }
    return addresses;
}

auto node_roster::isHeard(const node& other, time_point now) const -> bool
{
    return other.isHeard && other.hello.isReady && !other.hello.isLeaving && now <= other.heardAt + silenceLimit;
}

auto node_roster::isNearerToStore(const node& other) const -> bool
{
    return other.registration.storeDelay + distantStore < m_own.storeDelay;
}

auto node_roster::oldestReaderView() const -> duration
{
    return hasNearerStore() ? fedReaderAgeLimit : readerAgeLimit;
}

auto node_roster::readsBefore(const node& other, duration oldestView, time_point now) const -> bool
{
    if (other.registration.dataCentre != m_own.dataCentre || other.registration.name >= m_own.name)
        return false;
    if (!other.isHeard)
        return now < m_presumedUntil;
    // One that the store turns away reads in vain.
    return isHeard(other, now) && other.hello.viewAge < oldestView;
}

auto node_roster::nearReader(time_point now) const -> const node_hello*
{
    auto oldestView = oldestReaderView();
    for (auto& [name, other] : m_nodes) {
        if (readsBefore(other, oldestView, now))
            return &other.hello;
    }
    return nullptr;
}

auto node_roster::startSources() const -> std::vector<std::string>
{
    auto near = std::vector<const node_registration*> { &m_own };
    for (auto& [name, other] : m_nodes) {
        if (other.registration.dataCentre == m_own.dataCentre)
            near.push_back(&other.registration);
    }
    // The nodes with the largest links come first and tell most others.
    std::ranges::sort(near, {}, [](auto* node) { return std::tuple(-node->size.linkMegabits, std::string_view(node->name)); });
    auto branchesOf = [&](size_t place) {
        auto smallest = std::max(near.back()->size.linkMegabits, 1.0);
        return std::max(startBranches, static_cast<size_t>(near[place]->size.linkMegabits / smallest));
    };
    auto parents = std::vector<size_t>(near.size(), 0);
    for (auto parent = size_t { 0 }, child = size_t { 1 }; child < near.size(); ++parent) {
        for (auto branch = size_t { 0 }; branch < branchesOf(parent) && child < near.size(); ++branch)
            parents[child++] = parent;
    }
    auto sources = std::vector<std::string> {};
    for (auto place = static_cast<size_t>(std::ranges::find(near, &m_own) - near.begin()); place > 0;) {
        place = parents[place];
        sources.push_back(near[place]->name);
    }
    return sources;
}

auto node_roster::noteStart(time_point now) -> void
{
    m_presumedUntil = now + presumption;
}

auto node_roster::feeder(time_point now) const -> const node_hello*
{
    for (auto& [name, other] : m_nodes) {
        auto isNear = other.registration.dataCentre == m_own.dataCentre;
        if (!isNear && isNearerToStore(other) && isHeard(other, now) && other.hello.viewAge < readerAgeLimit)
            return &other.hello;
    }
    return nullptr;
}

auto node_roster::reader(time_point now) const -> const node_hello*
{
    auto* near = nearReader(now);
    return near ? near : feeder(now);
}

auto node_roster::watchesConfiguration(time_point now) const -> bool
{
    auto before = std::ranges::count_if(m_nodes, [&, oldestView = oldestReaderView()](auto& entry) { return readsBefore(entry.second, oldestView, now); });
    return before == 0 ? !feeder(now) : before == 1 && !hasNearerStore();
}

auto node_roster::hasNearerStore() const -> bool
{
    return std::ranges::any_of(m_nodes, [&](auto& entry) { return isNearerToStore(entry.second); });
}

auto node_roster::audience(time_point now) const -> std::vector<node_registration>
{
    auto isFirst = !nearReader(now);
    auto asked = size_t { 0 };
    auto nodes = std::vector<node_registration> {};
    for (auto& [name, other] : m_nodes) {
        auto isNear = other.registration.dataCentre == m_own.dataCentre;
        auto mayFeed = !isNear && isFirst && isNearerToStore(other) && asked < mostFeeders;
        asked += mayFeed ? 1 : 0;
        auto isFed = !isNear && other.isHeard && now <= other.heardAt + silenceLimit;
        if (isNear || mayFeed || isFed)
            nodes.push_back(other.registration);
    }
    return nodes;
}

auto node_roster::find(std::string_view name) const -> const node_registration*
{
    auto found = m_nodes.find(name);
    return found == m_nodes.end() ? nullptr : &found->second.registration;
}

auto node_roster::peers() const -> std::vector<node_registration>
{
    auto registrations = std::vector<node_registration> {};
    for (auto& [name, other] : m_nodes)
        registrations.push_back(other.registration);
    return registrations;
}

auto node_roster::knows(std::string_view name, std::string_view address) const -> bool
{
    auto found = m_nodes.find(name);
    return found != m_nodes.end() && found->second.registration.peerAddress.address == address;
}

} // namespace gypsumhub
