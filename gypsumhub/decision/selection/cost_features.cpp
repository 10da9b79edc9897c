#include "gypsumhub/decision/selection/cost_features.h"

#include <bit>

namespace gypsumhub {

auto sizeClassOf(size_t bodyBytes) -> uint32_t
{
    return bodyBytes == 0 ? 0 : static_cast<uint32_t>((std::bit_width(bodyBytes) - 1) / 2 + 1);
}

} // namespace gypsumhub
