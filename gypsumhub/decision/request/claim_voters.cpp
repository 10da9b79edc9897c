#include "gypsumhub/decision/request/claim_voters.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace gypsumhub {

claim_voters::claim_voters(const configuration& config)
{
    auto candidates = std::vector<candidate> {};
    for (auto& [name, node] : config.nodes) {
        auto dataCentre = config.dataCentres.find(node.dataCentre);
        auto region = dataCentre == config.dataCentres.end() ? node.dataCentre : dataCentre->second.region;
        candidates.push_back({ node.key, hashName(node.dataCentre), hashName(region) });
    }
    m_candidates = std::make_shared<std::vector<candidate>>(std::move(candidates));
}

auto claim_voters::choose(const claim_key& key) const -> std::vector<node_key>
{
    auto keyHash = mixHashes(key.service.value, hashName(key.idempotencyKey));
    auto rank = [&](const candidate& entry) { return mixHashes(keyHash, entry.node.value); };
    auto chosen = std::vector<const candidate*> {};
    chosen.reserve(voterCount);

    // Adds the best-ranked candidate that is not chosen yet and that the preference accepts.
    auto addBest = [&](const std::function<bool(const candidate&)>& preferred) {
        auto* best = static_cast<const candidate*>(nullptr);
        for (auto& entry : *m_candidates) {
            if (std::ranges::find(chosen, &entry) != chosen.end() || !preferred(entry))
                continue;
            if (!best || rank(entry) > rank(*best))
                best = &entry;
        }
        if (best)
            chosen.push_back(best);
        return best != nullptr;
    };
    auto any = [](const candidate&) { return true; };
    auto otherDataCentre = [&](const candidate& entry) { return entry.dataCentre != chosen.front()->dataCentre; };
    auto sameRegion = [&](const candidate& entry) { return otherDataCentre(entry) && entry.region == chosen.front()->region; };
    auto otherRegion = [&](const candidate& entry) { return entry.region != chosen.front()->region; };

    if (addBest(any)) {
        addBest(sameRegion) || addBest(otherDataCentre) || addBest(any);
        addBest(otherRegion) || addBest(otherDataCentre) || addBest(any);
    }
    auto voters = std::vector<node_key> {};
    for (auto* entry : chosen)
        voters.push_back(entry->node);
    return voters;
}

} // namespace gypsumhub
