#pragma once

#include "gypsumhub/config/configuration.h"

#include <cstdint>
#include <string_view>

namespace gypsumhub {

/// 0 for the same data centre, 1 for the same region, 2 for another region or an unregistered data centre.
auto distanceBetween(const configuration&, std::string_view dataCentre, std::string_view otherDataCentre) -> uint8_t;

} // namespace gypsumhub
