#include "gypsumhub/decision/distance.h"

namespace gypsumhub {

auto distanceBetween(const configuration& config, std::string_view dataCentre, std::string_view otherDataCentre) -> uint8_t
{
    if (dataCentre == otherDataCentre)
        return 0;
    auto one = config.dataCentres.find(dataCentre);
    auto other = config.dataCentres.find(otherDataCentre);
    if (one == config.dataCentres.end() || other == config.dataCentres.end())
        return 2;
    return one->second.region == other->second.region ? 1 : 2;
}

} // namespace gypsumhub
