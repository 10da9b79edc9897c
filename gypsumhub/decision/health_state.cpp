#include "gypsumhub/decision/health_state.h"

namespace gypsumhub {

auto toString(health_state state) -> const char*
{
    switch (state) {
    case health_state::Healthy:
        return "healthy";
    case health_state::Demoted:
        return "demoted";
    case health_state::Ejected:
        return "ejected";
    case health_state::Trial:
        return "trial";
    case health_state::Leaving:
        return "leaving";
    }
    return "unknown";
}

} // namespace gypsumhub
