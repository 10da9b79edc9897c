#include "gypsumhub/fleet/store_reader_choice.h"

#include "gypsumhub/core/hash.h"
#include "gypsumhub/decision/serving_group.h"

#include <algorithm>

namespace gypsumhub {

auto isStoreReader(const membership& view, node_key self, uint32_t readersPerDataCentre) -> bool
{
    auto* own = view.table().find(self);
    // A node that is not registered must read the register itself.
    if (!own)
        return true;
    auto candidates = std::vector<group_candidate> {};
    for (auto& entry : view.table().members()) {
        auto isLocal = entry.node.dataCentre == own->node.dataCentre;
        if (isLocal && (entry.node.key == self || (entry.isAvailable() && !view.isIsolated())))
            candidates.push_back({ entry.node.key, { entry.node.dataCentre } });
    }
    static const auto readersName = service_key { hashName("gypsumhub/store-readers") };
    auto readers = chooseServingGroup(readersName, candidates, readersPerDataCentre);
    return std::ranges::find(readers, self) != readers.end();
}

} // namespace gypsumhub
