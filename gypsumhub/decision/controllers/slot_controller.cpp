#include "gypsumhub/decision/controllers/slot_controller.h"

#include "gypsumhub/core/hash.h"
#include "gypsumhub/decision/distance.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <string_view>
#include <tuple>

namespace gypsumhub {

namespace {

    /// A member of the serving group while slots are assigned.
    struct slot_holder {
        const member_view* member { nullptr };
        /// Slots that may still be assigned to it.
        uint32_t quota { 0 };
        /// Slots of the current target that are assigned to it.
        uint16_t held { 0 };
        uint8_t distance { 0 };
        uint64_t rank { 0 };
    };

    /// The slots and the members of one region.
    struct region_share {
        uint32_t slots { 0 };
        uint32_t members { 0 };
    };

    using region_shares = std::map<std::string_view, region_share>;

    auto regionOf(const configuration& config, std::string_view dataCentre) -> std::string_view
    {
        auto found = config.dataCentres.find(dataCentre);
        return found != config.dataCentres.end() ? std::string_view(found->second.region) : std::string_view {};
    }

    auto countRegions(const configuration& config, const service_record& service) -> region_shares
    {
        auto regions = region_shares {};
        for (auto& target : service.targets) {
            if (target.listed != list_status::Gone)
                regions[regionOf(config, target.dataCentre)].slots += target.slots;
        }
        for (auto& member : service.group)
            ++regions[regionOf(config, member.dataCentre)].members;
        // When a region has only targets or only members, slots must cross regions, so all regions are divided as one.
        auto unbalanced = std::ranges::any_of(regions, [](auto& entry) { return entry.second.slots == 0 || entry.second.members == 0; });
        if (!unbalanced)
            return regions;
        auto total = region_share {};
        for (auto& [name, share] : regions) {
            total.slots += share.slots;
            total.members += share.members;
        }
        for (auto& [name, share] : regions)
            share = total;
        return regions;
    }

    /// Gives the members of a region the same number of slots, and one more to the first in rendezvous order when there is a
    /// remainder.
    auto makeHolders(const configuration& config, const service_record& service) -> std::vector<slot_holder>
    {
        auto holders = std::vector<slot_holder> {};
        for (auto& member : service.group)
            holders.push_back({ &member, 0, 0, 0, mixHashes(service.spec->key.value, member.key.value) });
        std::ranges::sort(holders, std::greater {}, &slot_holder::rank);
        auto regions = countRegions(config, service);
        auto unbalanced = regions.size() > 1 && regions.begin()->second.members == holders.size();
        auto placed = std::map<std::string_view, uint32_t> {};
        for (auto& holder : holders) {
            auto region = regionOf(config, holder.member->dataCentre);
            auto& share = regions[region];
            auto position = placed[unbalanced ? std::string_view {} : region]++;
            holder.quota = share.slots / share.members + (position < share.slots % share.members ? 1 : 0);
        }
        return holders;
    }

    /// Whether `a` should get the next slot of the current target before `b`.
    auto precedesInDivision(const slot_holder& a, const slot_holder& b) -> bool
    {
        // Members with quota first, then by distance, then those with fewer slots of this target, then by rendezvous order.
        return std::tuple(a.quota == 0, a.distance, a.held, b.rank) < std::tuple(b.quota == 0, b.distance, b.held, a.rank);
    }

} // namespace

slot_controller::slot_controller(blackboard& board)
    : m_board(board)
{
}

auto slot_controller::divide(service_record& service) -> void
{
    if (!service.slotsStale)
        return;
    service.slotsStale = false;
    service.unpublished = true;
    m_board.unpublished = true;
    if (service.group.empty()) {
        // Without a group, this node uses all slots itself.
        for (auto& target : service.targets)
            target.slotShare = target.slots;
        return;
    }
    auto holders = makeHolders(*m_board.config, service);

    for (auto& target : service.targets) {
        target.slotShare = 0;
        if (target.listed == list_status::Gone)
            continue;
        for (auto& holder : holders) {
            holder.held = 0;
            holder.distance = distanceBetween(*m_board.config, holder.member->dataCentre, target.dataCentre);
            holder.rank = mixHashes(target.key.value, holder.member->key.value);
        }
        for (auto slot = uint16_t { 0 }; slot < target.slots; ++slot) {
            auto next = std::ranges::min_element(holders, precedesInDivision);
            assert(next->quota > 0);
            --next->quota;
            ++next->held;
            if (next->member->key == m_board.settings.self)
                ++target.slotShare;
        }
    }
}

} // namespace gypsumhub
