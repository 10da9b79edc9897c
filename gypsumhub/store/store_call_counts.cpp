#include "gypsumhub/store/store_call_counts.h"

namespace gypsumhub {

auto formatCallCounts(const store_call_counts& counts) -> std::string
{
    return "gets " + std::to_string(counts.gets) + ", swaps " + std::to_string(counts.swaps) + ", removals " + std::to_string(counts.removals)
        + ", leases " + std::to_string(counts.leases) + ", watches " + std::to_string(counts.watches)
        + ", refused " + std::to_string(counts.refused) + ", total " + std::to_string(counts.total());
}

} // namespace gypsumhub
