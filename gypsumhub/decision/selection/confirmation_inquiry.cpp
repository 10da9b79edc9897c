#include "gypsumhub/decision/selection/confirmation_inquiry.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // A process whose step is this late was probably frozen.
    constexpr auto freezeTime = milliseconds(300);
    // Does not depend on the limit, as it bounds the load of the store.
    constexpr auto storeInterval = milliseconds(1000);
    // Between the decision to read the store and the sending of the call, also on a busy node.
    constexpr auto maxReadDelay = milliseconds(50);
    // Requests whose answers are waited for after others were sent.
    constexpr auto maxRequests = size_t { 16 };
    // At least three nodes have not answered.
    constexpr auto vainTime = milliseconds(900);

    auto isKnown(const confirmation_source& source) -> bool
    {
        return source.hasHello && source.age != unconfirmedAge;
    }

} // namespace

confirmation_inquiry::confirmation_inquiry(uint64_t seed, const confirmation_timing& timing)
    : m_timing(timing)
    , m_random(seed)
{
}

auto confirmation_inquiry::next(const situation& own, std::span<const confirmation_source> sources, time_point now) -> step
{
    if (now < m_dueAt)
        return {};
    // The watch of the store confirms soon by itself.
    if (own.isWatching && own.age < m_timing.lowAge) {
        m_inVainSince.reset();
        endRound(own.age, now);
        return {};
    }
    // A process that was frozen starts anew: the nodes that it asked before the freeze have answered.
    if (m_attempt > 0 && now > m_dueAt + freezeTime) {
        m_attempt = 0;
        m_asked.clear();
    }
    if (m_attempt > 0 && own.age >= m_timing.ownReadAge && isFromOwnRead(own.age, now))
        m_attempt = tiers.size();
    while (m_attempt < tiers.size()) {
        auto asked = tiers[m_attempt++];
        if (asked == tier::Store)
            break;
        auto name = choose(asked, own, sources);
        if (!name.empty())
            return send(now, name);
    }
    endRound(own.age, now);
    if (now < m_nextStoreCall)
        return {};
    m_nextStoreCall = now + storeInterval;
    m_storeCalledAt = now;
    m_inVainSince = m_inVainSince.value_or(now);
    return { step_kind::AskStore };
}

auto confirmation_inquiry::choose(tier asked, const situation& own, std::span<const confirmation_source> sources) -> std::string_view
{
    auto isLeft = [&](const confirmation_source& source) { return std::ranges::find(m_asked, source.name) == m_asked.end(); };
    auto candidates = std::vector<const confirmation_source*> {};
    auto collect = [&](auto&& accept) {
        if (!candidates.empty())
            return;
        for (auto& source : sources) {
            if (isLeft(source) && accept(source))
                candidates.push_back(&source);
        }
    };
    if (asked == tier::Near) {
        if (own.hasRemoteUpstream)
            collect([](auto& source) { return !source.isLocal && isKnown(source); });
        collect([](auto& source) { return source.isLocal && isKnown(source); });
        // Before the first hello, or after a freeze in which hellos were missed.
        collect([](auto& source) { return source.isLocal; });
    } else
        collect([](auto& source) { return !source.isLocal; });
    if (candidates.empty())
        return {};
    auto youngest = (*std::ranges::min_element(candidates, {}, &confirmation_source::age))->age;
    auto limit = youngest == unconfirmedAge ? youngest : std::max(m_timing.lowAge, youngest + m_timing.ageTolerance);
    std::erase_if(candidates, [&](auto* source) { return source->age > limit; });
    return candidates[m_random.below(candidates.size())]->name;
}

auto confirmation_inquiry::send(time_point now, std::string_view node) -> step
{
    if (m_requests.size() == maxRequests)
        m_requests.erase(m_requests.begin());
    m_requests.push_back({ m_random(), now });
    m_asked.emplace_back(node);
    m_dueAt = now + m_timing.answerTime;
    m_inVainSince = m_inVainSince.value_or(now);
    return { step_kind::AskNode, std::string(node), m_requests.back().ticket };
}

auto confirmation_inquiry::sentAt(uint64_t ticket) const -> std::optional<time_point>
{
    auto found = std::ranges::find(m_requests, ticket, &request::ticket);
    return found == m_requests.end() ? std::nullopt : std::optional(found->sentAt);
}

auto confirmation_inquiry::recordAnswer(uint64_t ticket, duration age, time_point now) -> void
{
    // A duplicate ends no round that has begun since.
    if (std::erase_if(m_requests, [&](auto& entry) { return entry.ticket == ticket; }) == 0)
        return;
    auto settledAge = isFromOwnRead(age, now) ? std::min(m_timing.settledAge, m_timing.ownReadAge) : m_timing.settledAge;
    if (age < settledAge) {
        m_inVainSince.reset();
        endRound(age, now);
    } else if (m_attempt > 0)
        m_dueAt = now;
}

auto confirmation_inquiry::isFromOwnRead(duration age, time_point now) const -> bool
{
    if (!m_storeCalledAt || age == unconfirmedAge)
        return false;
    auto confirmedAt = now - age;
    return confirmedAt >= *m_storeCalledAt && confirmedAt <= *m_storeCalledAt + maxReadDelay;
}

auto confirmation_inquiry::endRound(duration age, time_point now) -> void
{
    m_attempt = 0;
    m_asked.clear();
    m_dueAt = now + duration { static_cast<int64_t>(static_cast<double>(m_timing.pauseAt(age).ns) * (0.75 + 0.5 * m_random.unit())) };
}

auto confirmation_inquiry::hasten(time_point now) -> void
{
    // A process that was frozen: the requests before the freeze were not in vain.
    if (now > m_dueAt + freezeTime)
        m_inVainSince.reset();
    // Otherwise rounds in vain would follow each other without a pause.
    if (!m_inVainSince)
        m_dueAt = std::min(m_dueAt, now);
}

auto confirmation_inquiry::isUnderWay(time_point now) const -> bool
{
    return !m_inVainSince || now < *m_inVainSince + vainTime;
}

} // namespace gypsumhub
