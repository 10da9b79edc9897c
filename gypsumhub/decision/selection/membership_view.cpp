#include "gypsumhub/decision/selection/membership_view.h"

#include "gypsumhub/core/hash.h"
#include "gypsumhub/decision/selection/configuration_takeover.h"
#include "gypsumhub/decision/selection/watch_timing.h"

#include <algorithm>
#include <span>
#include <tuple>

namespace gypsumhub {

namespace {

    // Failover: when the last contact of the designated reader with the store is older, the next node takes over.
    constexpr auto readerViewAgeLimit = milliseconds(1300);
    static_assert(watch_timing::maxViewAge < readerViewAgeLimit, "a reader would lose its role whenever no registration changes for a second");
    // Time for the next reader to read the store and to send its first hello.
    constexpr auto takeoverTime = milliseconds(500);
    // Registrations that arrive through a remote upstream are older by one hello interval.
    constexpr auto relayedReaderViewAgeLimit = milliseconds(1800);
    // Delays of calls to the store are compared in steps of this size: the store is in another region when it is a step further away.
    constexpr auto storeDelayStep = milliseconds(10);
    // Children in the bootstrap tree of a node whose link is no larger than the others': sending three listings of 60 KB over
    // 10 Mbit/s takes a seventh of a second.
    constexpr auto minBootstrapFanout = size_t { 3 };
    // Callers use no more addresses than this from one directory answer.
    constexpr auto maxGroupNodes = size_t { 64 };
    // Number of nodes of other data centres to which the first node of a data centre sends hellos to receive changes from them.
    constexpr auto maxRemoteUpstreams = size_t { 2 };
    // Nodes of another data centre that pass on a message to the whole fleet.
    constexpr auto relaysPerDataCentre = size_t { 2 };

} // namespace

membership_view::membership_view(node_registration own)
    : m_own(std::move(own))
{
}

auto membership_view::recordRegistration(const node_registration& registration) -> void
{
    if (registration.name == m_own.name)
        return;
    auto& entry = m_nodes[registration.name];
    entry.registration = registration;
    entry.hello.name = registration.name;
    m_dataCentreOrder.clear();
}

auto membership_view::setStoreDelay(duration delay) -> void
{
    m_own.storeDelay = delay;
    m_dataCentreOrder.clear();
}

auto membership_view::dataCentreOrder() const -> const std::vector<std::string>&
{
    if (!m_dataCentreOrder.empty())
        return m_dataCentreOrder;
    // The shortest delay of a data centre is its least disturbed measurement.
    auto steps = std::map<std::string_view, int64_t> {};
    auto add = [&](const node_registration& node) {
        auto step = node.storeDelay.ns / storeDelayStep.ns;
        auto [known, isNew] = steps.try_emplace(node.dataCentre, step);
        known->second = std::min(known->second, step);
    };
    add(m_own);
    for (auto& [name, other] : m_nodes)
        add(other.registration);
    auto order = std::vector<std::pair<int64_t, std::string_view>> {};
    for (auto& [dataCentre, step] : steps)
        order.emplace_back(step, dataCentre);
    std::ranges::sort(order);
    for (auto& [step, dataCentre] : order)
        m_dataCentreOrder.emplace_back(dataCentre);
    return m_dataCentreOrder;
}

auto membership_view::recordUnregistration(std::string_view name, time_point now) -> void
{
    auto found = m_nodes.find(name);
    if (found == m_nodes.end())
        return;
    auto isLocal = found->second.registration.dataCentre == m_own.dataCentre;
    if (!isLocal || !isAvailable(found->second, now)) {
        m_nodes.erase(found);
        m_dataCentreOrder.clear();
    }
}

auto membership_view::recordHello(const node_hello& hello, time_point now) -> void
{
    auto found = m_nodes.find(hello.name);
    if (found == m_nodes.end())
        return;
    found->second.hello = hello;
    found->second.helloReceivedAt = now;
    found->second.hasHello = true;
}

auto membership_view::setOwnState(bool isReady, bool isLeaving) -> void
{
    m_isReady = isReady;
    m_isLeaving = isLeaving;
}

auto membership_view::isAvailable(const node& other, time_point now) const -> bool
{
    // Nodes of other data centres send no hellos to this one; their lease in the store shows that they are alive.
    if (other.registration.dataCentre != m_own.dataCentre)
        return true;
    return isActive(other, now);
}

auto membership_view::availableNodes(std::string_view dataCentre, time_point now) const -> std::vector<const node_registration*>
{
    auto nodes = std::vector<const node_registration*> {};
    auto collect = [&](auto&& accept) {
        if (m_isReady && !m_isLeaving && accept(m_own))
            nodes.push_back(&m_own);
        for (auto& [name, other] : m_nodes) {
            if (accept(other.registration) && isAvailable(other, now))
                nodes.push_back(&other.registration);
        }
    };
    collect([&](const node_registration& node) { return node.dataCentre == dataCentre; });
    if (nodes.empty())
        collect([](const node_registration&) { return true; });
    return nodes;
}

auto membership_view::group(std::string_view host, std::string_view dataCentre, const group_requirement& required, time_point now) const -> std::vector<endpoint>
{
    struct candidate {
        bool isSmall;
        uint64_t rank;
        const node_registration* node;
    };
    auto hostHash = hashName(host);
    auto candidates = std::vector<candidate> {};
    auto available = availableNodes(dataCentre, now);
    auto lacksPaths = [&](auto* node) { return !hasPaths(*node, host); };
    // Without any other, these nodes relay what they receive.
    if (!std::ranges::all_of(available, lacksPaths))
        std::erase_if(available, lacksPaths);
    for (auto* node : available)
        candidates.push_back({ !node->size.covers(required.size), mixHashes(hostHash, hashName(node->name)), node });
    std::ranges::sort(candidates, {}, [](auto& entry) { return std::tuple(entry.isSmall, entry.rank); });
    auto needed = required.size;
    if (dataCentre == m_own.dataCentre) {
        auto demanded = demandedSize(host, now);
        needed = { std::max(needed.cores, demanded.cores), std::max(needed.linkMegabits, demanded.linkMegabits) };
    }
    auto addresses = std::vector<endpoint> {};
    auto total = node_size {};
    for (auto& entry : candidates) {
        auto isSufficient = addresses.size() >= required.nodes && total.covers(needed);
        if (isSufficient || addresses.size() == maxGroupNodes)
            break;
        addresses.push_back(entry.node->callerAddress);
        total += entry.node->size;
    }
    return addresses;
}

auto membership_view::demandedSize(std::string_view host, time_point now) const -> node_size
{
    auto total = node_size {};
    auto add = [&](const std::vector<host_demand>& demands) {
        for (auto& demand : demands) {
            if (demand.host == host)
                total += sizeFor(demand);
        }
    };
    add(m_ownDemands);
    for (auto& [name, other] : m_nodes) {
        if (hasRecentHello(other, now) && other.registration.dataCentre == m_own.dataCentre)
            add(other.hello.demands);
    }
    return total;
}

auto membership_view::isActive(const node& other, time_point now) const -> bool
{
    return other.hello.isReady && canRead(other, now);
}

auto membership_view::maxReaderViewAge(time_point now) const -> duration
{
    auto limit = hasPrecedingDataCentre() ? relayedReaderViewAgeLimit : readerViewAgeLimit;
    return precedingNodes(2, now) < 2 ? limit : limit + takeoverTime;
}

auto membership_view::precedingNodes(int limit, time_point now) const -> int
{
    auto preceding = 0;
    for (auto& [name, other] : m_nodes) {
        if (name >= m_own.name || preceding == limit)
            break;
        preceding += other.registration.dataCentre == m_own.dataCentre && canRead(other, now) ? 1 : 0;
    }
    return preceding;
}

auto membership_view::isPrecedingReader(const node& other, duration maxViewAge, time_point now) const -> bool
{
    if (other.registration.dataCentre != m_own.dataCentre || other.registration.name >= m_own.name)
        return false;
    if (!other.hasHello)
        return now < m_startupGraceUntil;
    // A node that the store refuses is not a useful reader; its view grows stale.
    return canRead(other, now) && other.hello.viewAge < maxViewAge;
}

auto membership_view::localReader(time_point now) const -> const node_hello*
{
    auto maxViewAge = maxReaderViewAge(now);
    for (auto& [name, other] : m_nodes) {
        if (isPrecedingReader(other, maxViewAge, now))
            return &other.hello;
    }
    return nullptr;
}

auto membership_view::bootstrapSources() const -> std::vector<std::string>
{
    auto local = std::vector<const node_registration*> { &m_own };
    for (auto& [name, other] : m_nodes) {
        if (other.registration.dataCentre == m_own.dataCentre)
            local.push_back(&other.registration);
    }
    // The nodes with the largest links form the top of the tree and serve the most children.
    std::ranges::sort(local, {}, [](auto* node) { return std::tuple(-node->size.linkMegabits, std::string_view(node->name)); });
    auto fanoutOf = [&](size_t index) {
        auto smallest = std::max(local.back()->size.linkMegabits, 1.0);
        return std::max(minBootstrapFanout, static_cast<size_t>(local[index]->size.linkMegabits / smallest));
    };
    auto parents = std::vector<size_t>(local.size(), 0);
    for (auto parent = size_t { 0 }, child = size_t { 1 }; child < local.size(); ++parent) {
        for (auto index = size_t { 0 }; index < fanoutOf(parent) && child < local.size(); ++index)
            parents[child++] = parent;
    }
    auto sources = std::vector<std::string> {};
    for (auto index = static_cast<size_t>(std::ranges::find(local, &m_own) - local.begin()); index > 0;) {
        index = parents[index];
        sources.push_back(local[index]->name);
    }
    return sources;
}

auto membership_view::hasStartingReader(time_point now) const -> bool
{
    auto isStarting = [&](auto& entry) {
        auto& [name, other] = entry;
        return name < m_own.name && other.registration.dataCentre == m_own.dataCentre && !other.hello.isReady && canRead(other, now);
    };
    return now < m_startupGraceUntil && std::ranges::any_of(m_nodes, isStarting);
}

auto membership_view::remoteUpstream(time_point now) const -> const node_hello*
{
    auto isUsable = [&](const node& other) { return canRead(other, now) && other.hello.viewAge < readerViewAgeLimit + takeoverTime; };
    for (auto& dataCentre : dataCentreOrder()) {
        if (dataCentre == m_own.dataCentre)
            return nullptr;
        // The first usable node of a data centre by name is its reader, which sends its changes on.
        auto found = std::ranges::find_if(m_nodes, [&](auto& entry) { return entry.second.registration.dataCentre == dataCentre && isUsable(entry.second); });
        if (found != m_nodes.end())
            return &found->second.hello;
    }
    return nullptr;
}

auto membership_view::reader(time_point now) const -> const node_hello*
{
    auto* local = localReader(now);
    return local ? local : remoteUpstream(now);
}

auto membership_view::watchesConfiguration(time_point now) const -> bool
{
    auto maxAge = hasPrecedingDataCentre() ? std::nullopt : configuration_takeover::maxAge(precedingNodes(configuration_takeover::nodes, now));
    auto isCurrent = [&](const node_hello& hello) { return !maxAge || hello.configurationAge < *maxAge; };
    auto precedingReaders = std::ranges::count_if(m_nodes, [&, maxViewAge = maxReaderViewAge(now)](auto& entry) { return isPrecedingReader(entry.second, maxViewAge, now) && isCurrent(entry.second.hello); });
    return precedingReaders == 0 ? !remoteUpstream(now) : precedingReaders == 1 && !hasPrecedingDataCentre();
}

auto membership_view::recipients(time_point now) const -> std::vector<node_registration>
{
    auto isFirst = !localReader(now);
    auto upstreams = size_t { 0 };
    auto nodes = std::vector<node_registration> {};
    for (auto& [name, other] : m_nodes) {
        auto isLocal = other.registration.dataCentre == m_own.dataCentre;
        auto isUpstream = isFirst && hasPrecedingDataCentre() && other.registration.dataCentre == dataCentreOrder().front() && upstreams < maxRemoteUpstreams;
        upstreams += isUpstream ? 1 : 0;
        if (isLocal || isUpstream || hasRecentHello(other, now))
            nodes.push_back(other.registration);
    }
    return nodes;
}

auto membership_view::fleetRecipients(uint64_t salt) const -> std::vector<node_registration>
{
    auto byDataCentre = std::map<std::string_view, std::vector<const node_registration*>> {};
    for (auto& [name, other] : m_nodes)
        byDataCentre[other.registration.dataCentre].push_back(&other.registration);
    auto nodes = std::vector<node_registration> {};
    for (auto& [dataCentre, members] : byDataCentre) {
        auto count = dataCentre == m_own.dataCentre ? members.size() : std::min(members.size(), relaysPerDataCentre);
        std::ranges::partial_sort(members, members.begin() + static_cast<std::ptrdiff_t>(count), {}, [&](auto* member) { return mixHashes(hashName(member->name), salt); });
        for (auto* member : std::span(members).first(count))
            nodes.push_back(*member);
    }
    return nodes;
}

auto membership_view::permitIssuers(std::string_view target, std::string_view dataCentre, time_point now) const -> std::vector<std::string>
{
    auto targetHash = hashName(target);
    auto candidates = std::vector<std::pair<uint64_t, std::string_view>> {};
    for (auto* node : availableNodes(dataCentre, now))
        candidates.emplace_back(mixHashes(targetHash, hashName(node->name)), node->name);
    auto count = std::min(candidates.size(), maxPermitIssuers);
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count));
    auto names = std::vector<std::string> {};
    for (auto& [rank, name] : std::span(candidates).first(count))
        names.emplace_back(name);
    return names;
}

auto membership_view::hasPaths(const node_registration& candidate, std::string_view host) const -> bool
{
    auto found = m_nodes.find(candidate.name);
    auto& lost = found == m_nodes.end() ? m_ownLostHosts : found->second.hello.lostHosts;
    return std::ranges::find(lost, host) == lost.end();
}

auto membership_view::helpers(std::string_view host, time_point now) const -> std::vector<node_registration>
{
    auto local = std::vector<node_registration> {}, remote = std::vector<node_registration> {};
    for (auto& [name, other] : m_nodes) {
        if (isAvailable(other, now) && hasPaths(other.registration, host))
            (other.registration.dataCentre == m_own.dataCentre ? local : remote).push_back(other.registration);
    }
    return local.empty() ? remote : local;
}

auto membership_view::isNodeAddress(std::string_view address) const -> bool
{
    return std::ranges::any_of(m_nodes, [&](auto& entry) { return entry.second.registration.callerAddress.address == address; });
}

auto membership_view::localPeers() const -> std::vector<node_registration>
{
    auto nodes = peers();
    std::erase_if(nodes, [&](auto& node) { return node.dataCentre != m_own.dataCentre; });
    return nodes;
}

auto membership_view::configurationHolders(uint64_t version, time_point now) const -> std::vector<std::string>
{
    auto local = std::vector<std::string> {}, remote = std::vector<std::string> {};
    for (auto& [name, other] : m_nodes) {
        if (isActive(other, now) && other.hello.configurationVersion >= version)
            (other.registration.dataCentre == m_own.dataCentre ? local : remote).push_back(name);
    }
    return local.empty() ? remote : local;
}

auto membership_view::find(std::string_view name) const -> const node_registration*
{
    auto found = m_nodes.find(name);
    return found == m_nodes.end() ? nullptr : &found->second.registration;
}

auto membership_view::peers() const -> std::vector<node_registration>
{
    auto registrations = std::vector<node_registration> {};
    for (auto& [name, other] : m_nodes)
        registrations.push_back(other.registration);
    return registrations;
}

auto membership_view::isPeerAddress(std::string_view name, std::string_view address) const -> bool
{
    auto found = m_nodes.find(name);
    return found != m_nodes.end() && found->second.registration.peerAddress.address == address;
}

} // namespace gypsumhub
