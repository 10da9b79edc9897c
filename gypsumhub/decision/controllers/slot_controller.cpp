#include "gypsumhub/decision/controllers/slot_controller.h"

#include "gypsumhub/core/hash.h"
#include "gypsumhub/decision/distance.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace gypsumhub {

namespace {

    /// A member while slots are handed out.
    struct slot_holder {
        const member_view* member { nullptr };
        /// Slots that it may still receive.
        uint32_t quota { 0 };
        /// Slots of the current target that it has.
        uint16_t held { 0 };
        uint8_t distance { 0 };
        uint64_t rank { 0 };
    };

    /// Gives every member the same number of slots, and one more to the first in rendezvous order when there is a remainder.
    auto makeHolders(const service_record& service, uint32_t slots) -> std::vector<slot_holder>
    {
        auto holders = std::vector<slot_holder> {};
        for (auto& member : service.group)
            holders.push_back({ &member, 0, 0, 0, mixHashes(service.spec->key.value, member.key.value) });
        std::ranges::sort(holders, std::greater {}, &slot_holder::rank);
        auto members = static_cast<uint32_t>(holders.size());
        for (auto position = uint32_t { 0 }; position < members; ++position)
            holders[position].quota = slots / members + (position < slots % members ? 1 : 0);
        return holders;
    }

    /// Whether `a` should get the next slot of the current target before `b`.
    auto goesBefore(const slot_holder& a, const slot_holder& b) -> bool
    {
        // Members without quota last; then near ones, then those with fewer slots of this target, then rendezvous order.
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
        // Nobody to share with.
        for (auto& target : service.targets)
            target.slotShare = target.slots;
        return;
    }
    auto slots = uint32_t { 0 };
    for (auto& target : service.targets)
        slots += target.listed == list_status::Gone ? 0 : target.slots;
    auto holders = makeHolders(service, slots);

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
            auto next = std::ranges::min_element(holders, goesBefore);
            assert(next->quota > 0);
            --next->quota;
            ++next->held;
            if (next->member->key == m_board.settings.self)
                ++target.slotShare;
        }
    }
}

} // namespace gypsumhub
