#include "fakes/schedule_result.h"

namespace gypsumhub {

auto jainIndex(const std::vector<uint64_t>& counts) -> double
{
    auto sum = 0.0;
    auto squares = 0.0;
    for (auto count : counts) {
        sum += static_cast<double>(count);
        squares += static_cast<double>(count) * static_cast<double>(count);
    }
    return squares == 0 ? 1 : sum * sum / (static_cast<double>(counts.size()) * squares);
}

} // namespace gypsumhub
