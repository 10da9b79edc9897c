#include "fakes/target_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace gypsumhub {

namespace {

    // Log-normal service time. The 99th percentile is 6.4 times the median.
    constexpr auto medianServiceMs = 25.0;
    constexpr auto serviceSigma = 0.8;
    constexpr auto healthyErrorShare = 0.005;
    constexpr auto slowFactor = 3;
    constexpr auto coldFactor = 4;
    constexpr auto probeTime = milliseconds(25);
    constexpr auto errorTime = milliseconds(2);

    auto has(std::span<const fault_kind> faults, fault_kind kind) -> bool
    {
        return std::ranges::find(faults, kind) != faults.end();
    }

} // namespace

target_model::target_model(uint16_t slots, uint64_t seed)
    : m_random(seed)
    , m_slots(slots)
{
}

auto target_model::accept(time_point now, std::span<const fault_kind> faults, bool pathCut) -> modelled_exchange
{
    if (has(faults, fault_kind::Vanished))
        return { attempt_result::ConnectFailed, now + milliseconds(1) };
    // The request arrives and runs, but its answer is lost.
    if (pathCut)
        return { attempt_result::Silent, never, true };
    if (has(faults, fault_kind::Drain))
        return { attempt_result::Draining, now + errorTime };
    if (m_busy >= m_slots) {
        ++shed;
        return { attempt_result::Shed, now + errorTime };
    }
    ++accepted;
    if (has(faults, fault_kind::Silent))
        return { attempt_result::Silent, never, m_random.below(2) == 0 };
    if (has(faults, fault_kind::HangAfterHeader))
        return { attempt_result::HungAfterHeader, never, true };

    auto isFailingPhase = has(faults, fault_kind::Flapping) && now.ns / seconds(1).ns % 4 < 2;
    auto isError = has(faults, fault_kind::Errors) || isFailingPhase || (has(faults, fault_kind::HalfErrors) && m_random.below(2) == 0);
    if (isError || m_random.unit() < healthyErrorShare) {
        ++m_busy;
        // An error answer leaves open whether the request took effect.
        return { attempt_result::ErrorAnswer, now + errorTime, m_random.below(2) == 0, true };
    }
    auto service = drawServiceTime();
    if (has(faults, fault_kind::Slow) || has(faults, fault_kind::WholeServiceSlow))
        service = service * slowFactor;
    if (has(faults, fault_kind::ColdStart))
        service = service * coldFactor;
    ++m_busy;
    auto result = attempt_result::Success;
    if (has(faults, fault_kind::WrongAnswers))
        result = attempt_result::MismatchedAnswer;
    if (has(faults, fault_kind::CutAnswers))
        result = attempt_result::CutAnswer;
    return { result, now + service, true, true };
}

auto target_model::probe(time_point now, std::span<const fault_kind> faults, bool pathCut) const -> modelled_exchange
{
    if (has(faults, fault_kind::Vanished))
        return { attempt_result::ConnectFailed, now + milliseconds(1) };
    if (pathCut || has(faults, fault_kind::Silent))
        return { attempt_result::Silent, never };
    if (has(faults, fault_kind::Drain))
        return { attempt_result::Draining, now + errorTime };
    return { attempt_result::Success, now + probeTime };
}

auto target_model::release() -> void
{
    --m_busy;
}

auto target_model::drawServiceTime() -> duration
{
    auto radius = std::sqrt(-2 * std::log(1 - m_random.unit()));
    auto normal = radius * std::cos(2 * std::numbers::pi * m_random.unit());
    return microseconds(static_cast<int64_t>(medianServiceMs * std::exp(serviceSigma * normal) * 1000));
}

} // namespace gypsumhub
