#include "gypsumhub/fleet/revision_offers.h"

#include <algorithm>
#include <tuple>

namespace gypsumhub {

namespace {

    constexpr auto maxOffers = std::size_t { 32 };
    constexpr auto maxRefused = std::size_t { 32 };

} // namespace

auto revision_offers::add(const revision_offer& offer) -> void
{
    if (isRefused(offer.revision))
        return;
    auto known = std::ranges::find(m_offers, offer.peer, &revision_offer::peer);
    if (known != m_offers.end()) {
        // A repeated offer keeps its `usableFrom`; otherwise repetition would postpone it forever.
        if (known->revision != offer.revision)
            *known = offer;
        return;
    }
    if (m_offers.size() == maxOffers)
        m_offers.erase(m_offers.begin());
    m_offers.push_back(offer);
}

auto revision_offers::postpone(node_key peer, time_point usableFrom) -> void
{
    auto known = std::ranges::find(m_offers, peer, &revision_offer::peer);
    if (known != m_offers.end())
        known->usableFrom = usableFrom;
}

auto revision_offers::refuse(const revision_id& revision) -> void
{
    std::erase_if(m_offers, [&](auto& offer) { return offer.revision == revision; });
    m_refused.push_back(revision);
    if (m_refused.size() > maxRefused)
        m_refused.pop_front();
}

auto revision_offers::isRefused(const revision_id& revision) const -> bool
{
    return std::ranges::find(m_refused, revision) != m_refused.end();
}

auto revision_offers::dropUpTo(const revision_id& current) -> void
{
    std::erase_if(m_offers, [&](auto& offer) { return offer.revision.number <= current.number; });
}

auto revision_offers::countOffers(const revision_id& revision) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count(m_offers, revision, &revision_offer::revision));
}

auto revision_offers::best(time_point now, const std::optional<revision_id>& preferred) const -> std::optional<revision_offer>
{
    auto best = std::optional<revision_offer> {};
    auto rank = [&](const revision_offer& offer) {
        auto resumes = preferred && offer.revision == *preferred;
        // Distance before number: near peers soon have the newest revision, and traffic between regions is expensive. Among
        // equal offers the one added last wins, because fewer other nodes use that peer.
        return std::tuple(resumes, -static_cast<int>(offer.distance), offer.revision.number, countOffers(offer.revision));
    };
    for (auto& offer : m_offers) {
        if (offer.usableFrom <= now && (!best || rank(offer) >= rank(*best)))
            best = offer;
    }
    return best;
}

} // namespace gypsumhub
