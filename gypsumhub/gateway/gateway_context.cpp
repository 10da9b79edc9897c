#include "gypsumhub/gateway/gateway_context.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/hash.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // A failure of a target that is taken for bad with this probability is no news.
    constexpr auto certainlyBad = 0.95;
    // A success is news when the target was in doubt.
    constexpr auto worthTelling = 0.15;
    // A target is logged as set aside, or back, when its belief crosses this.
    constexpr auto notableBelief = 0.5;

    // Nodes draw different numbers, also after a restart.
    auto seedOf(const gateway_settings& settings) -> uint64_t
    {
        return mixHashes(hashName(settings.name), static_cast<uint64_t>(wallClockNow().ns));
    }

    auto regionIn(const gateway_settings& settings, std::string_view dataCentre) -> std::string
    {
        for (auto& [name, region] : settings.dataCentres) {
            if (name == dataCentre)
                return region;
        }
        return {};
    }

} // namespace

gateway_context::gateway_context(gateway_settings given)
    : settings(std::move(given))
    , random(seedOf(settings))
    , log({ settings.logDescriptor, settings.logLinesPerSecond })
    , board(
          settings.dataCentre, [this](std::string_view name) { return regionIn(settings, name); }, settings.selection, random())
    , roster({ settings.name, settings.dataCentre, settings.callerAddress, settings.peerAddress, {}, settings.size })
    , startedAt(bootClockNow())
{
}

auto gateway_context::noteOutcome(target_state& target, outcome_kind kind, time_point sentAt, bool mayBePath) -> void
{
    auto change = board.observe(target, kind, sentAt, bootClockNow());
    logChange(target, change, kind, settings.name);
    auto isNews = kind == outcome_kind::Failure ? change.before < certainlyBad : kind == outcome_kind::Success && change.before > worthTelling;
    if (!isNews || mayBePath || !tell)
        return;
    ++counters.outcomesTold;
    tell({ { target.registration.id, target.registration.incarnation, kind == outcome_kind::Failure, sentAt } });
}

auto gateway_context::noteTold(const told_outcome& told, std::string_view sender) -> void
{
    auto target = board.find(told.target);
    if (!target || target->registration.incarnation != told.incarnation)
        return;
    ++counters.outcomesHeard;
    auto kind = told.failed ? outcome_kind::Failure : outcome_kind::Success;
    auto change = board.observe(*target, kind, told.sentAt, bootClockNow());
    logChange(*target, change, kind, sender);
    lane(target->registration.service).pump();
}

auto gateway_context::logChange(const target_state& target, belief_change change, outcome_kind kind, std::string_view seenBy) -> void
{
    auto crosses = (change.before < notableBelief) != (change.after < notableBelief);
    if (!crosses)
        return;
    constexpr auto names = std::to_array<std::string_view>({ "success", "failure", "stall" });
    log.write(log_class::Notable, change.after < notableBelief ? "target_reinstated" : "target_set_aside",
        { { "target", target.registration.id }, { "service", target.registration.service }, { "outcome", names[static_cast<size_t>(kind)] },
            { "seen_by", seenBy }, { "probability_before", change.before }, { "probability_after", change.after } });
}

auto gateway_context::regionOf(std::string_view dataCentre) const -> std::string
{
    return regionIn(settings, dataCentre);
}

auto gateway_context::lane(std::string_view service) -> service_lane&
{
    auto found = lanes.find(service);
    if (found == lanes.end()) {
        auto allowance = repeat_allowance::settings { settings.retryShare, settings.retryReserve, settings.retryWindow };
        found = lanes.emplace(std::string(service), std::make_unique<service_lane>(io, std::string(service), board, allowance)).first;
    }
    return *found->second;
}

auto gateway_context::turnsOf(const route& used) -> weighted_turns&
{
    auto found = turns.find(used.name);
    if (found == turns.end() || !found->second.matches(used.services))
        found = turns.insert_or_assign(used.name, weighted_turns(used.services, random.unit())).first;
    return found->second;
}

} // namespace gypsumhub
