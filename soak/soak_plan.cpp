#include "soak/soak_plan.h"

#include "gypsumhub/core/random_generator.h"

#include <algorithm>
#include <array>

namespace gypsumhub {

namespace {

    /// What an event affects.
    enum class subject_kind : uint8_t {
        None,
        Node,
        Target,
    };

    /// Name of an event, its subject and its longest duration.
    struct event_row {
        soak_event_kind kind;
        std::string_view name;
        subject_kind subject;
        duration maxDuration;
    };

    // Connections are held for up to the time for which the users' platform isolates a machine.
    constexpr auto eventRows = std::to_array<event_row>({
        { soak_event_kind::KillNode, "kill_node", subject_kind::Node, milliseconds(1500) },
        { soak_event_kind::StopNode, "stop_node", subject_kind::Node, milliseconds(500) },
        { soak_event_kind::PauseNode, "pause_node", subject_kind::Node, milliseconds(2500) },
        { soak_event_kind::ReloadNode, "reload_node", subject_kind::Node, milliseconds(1) },
        { soak_event_kind::Configure, "configure", subject_kind::None, milliseconds(1) },
        { soak_event_kind::StoreOutage, "store_away", subject_kind::None, milliseconds(4000) },
        { soak_event_kind::StoreEndsLeases, "store_forgets", subject_kind::None, milliseconds(1) },
        { soak_event_kind::StoreLinkSlow, "store_link_slow", subject_kind::Node, milliseconds(3000) },
        { soak_event_kind::StoreLinkReset, "store_link_reset", subject_kind::Node, milliseconds(3000) },
        { soak_event_kind::StoreLinkHeldOut, "store_link_held_out", subject_kind::Node, milliseconds(4000) },
        { soak_event_kind::StoreLinkHeldBack, "store_link_held_back", subject_kind::Node, milliseconds(4000) },
        { soak_event_kind::StoreLinkSilent, "store_link_silent", subject_kind::Node, milliseconds(4000) },
        { soak_event_kind::TargetLinkSlow, "target_link_slow", subject_kind::Target, milliseconds(3000) },
        { soak_event_kind::TargetLinkReset, "target_link_reset", subject_kind::Target, milliseconds(3000) },
        { soak_event_kind::TargetLinkHeldBack, "target_link_held_back", subject_kind::Target, milliseconds(3000) },
        { soak_event_kind::TargetLinkSilent, "target_link_silent", subject_kind::Target, milliseconds(3000) },
        { soak_event_kind::TargetFails, "target_fails", subject_kind::Target, milliseconds(3000) },
        { soak_event_kind::TargetSheds, "target_sheds", subject_kind::Target, milliseconds(3000) },
        { soak_event_kind::TargetDrops, "target_drops", subject_kind::Target, milliseconds(3000) },
        { soak_event_kind::TargetCuts, "target_cuts", subject_kind::Target, milliseconds(3000) },
        { soak_event_kind::TargetDrains, "target_drains", subject_kind::Target, milliseconds(6000) },
    });

    auto scale(duration length, double factor) -> duration
    {
        return { static_cast<int64_t>(static_cast<double>(length.ns) * factor) };
    }

} // namespace

auto nameOf(soak_event_kind kind) -> std::string_view
{
    return std::ranges::find(eventRows, kind, &event_row::kind)->name;
}

auto makeSoakPlan(uint64_t seed, const soak_settings& settings) -> std::vector<soak_event>
{
    auto random = random_generator(seed);
    auto plan = std::vector<soak_event> {};
    auto latest = time_point {} + settings.length + milliseconds(1500);
    auto at = time_point {};
    while (plan.size() < settings.events) {
        auto& row = eventRows[random.below(eventRows.size())];
        auto count = row.subject == subject_kind::Target ? settings.targets : settings.nodes;
        // On average, every third event starts at the same instant as the previous one.
        if (plan.empty() || random.below(3) != 0)
            at = time_point {} + scale(settings.length, random.unit());
        auto until = at + scale(row.maxDuration, 0.25 + 0.75 * random.unit());
        plan.push_back({ row.kind, static_cast<uint32_t>(random.below(count)), at, std::min(until, latest) });
        // A series as in a rolling restart: the next node stops shortly after this one.
        if (row.kind == soak_event_kind::StopNode && random.below(2) == 0)
            plan.push_back({ row.kind, (plan.back().subject + 1) % settings.nodes, at + milliseconds(300), std::min(until + milliseconds(300), latest) });
    }
    std::ranges::stable_sort(plan, {}, &soak_event::from);
    return plan;
}

} // namespace gypsumhub
