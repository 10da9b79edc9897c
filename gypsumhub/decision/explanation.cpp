#include "gypsumhub/decision/explanation.h"

#include "gypsumhub/decision/controllers/health_controller.h"

namespace gypsumhub {

namespace {

    auto explainTarget(const target_record& target, const detection_thresholds& thresholds, time_point now) -> std::string
    {
        auto pooled = poolEvidence(target, thresholds, now);
        auto line = target.name + ": " + toString(target.state) + ", weight " + std::to_string(target.weight) + ", slots "
            + std::to_string(target.slotShare) + " of " + std::to_string(target.slots) + "; " + describeScores(target, pooled);
        if (target.slowStartUntil > now)
            line += "; slow start for " + std::to_string((target.slowStartUntil - now).milliseconds()) + " ms more";
        if (target.state == health_state::Ejected && target.ejectedUntil > now)
            line += "; ejected for " + std::to_string((target.ejectedUntil - now).milliseconds()) + " ms more";
        if (!target.reason.empty())
            line += "; " + target.reason;
        return line + "\n";
    }

} // namespace

auto explainService(const blackboard& board, service_key key, time_point now) -> std::string
{
    auto* service = board.findService(key);
    if (!service)
        return "unknown service\n";
    auto text = service->spec->name + ": floor " + std::to_string(service->floorCount()) + " of " + std::to_string(service->targets.size())
        + (service->degraded ? "; degraded: many targets are suspected at once, so none is ejected\n" : "\n");
    auto& thresholds = thresholdsFor(service->spec->rules.preference);
    for (auto& target : service->targets)
        text += explainTarget(target, thresholds, now);
    return text;
}

} // namespace gypsumhub
