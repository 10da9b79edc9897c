#include "gypsumhub/decision/detection_thresholds.h"

namespace gypsumhub {

auto thresholdsFor(ejection_preference preference) -> const detection_thresholds&
{
    static constexpr auto fast = detection_thresholds { 13, 12.5F, 4.5F, 0 };
    static constexpr auto balanced = detection_thresholds { 14.5F, 13.5F, 5.5F, 0.3F };
    static constexpr auto few = detection_thresholds { 16, 14.5F, 6, 0.5F };
    switch (preference) {
    case ejection_preference::FastDetection:
        return fast;
    case ejection_preference::FewFalseEjections:
        return few;
    case ejection_preference::Balanced:
        break;
    }
    return balanced;
}

} // namespace gypsumhub
