#include "gypsumhub/platform/stated_leaving.h"

#include "gypsumhub/platform/wire_names.h"

#include <algorithm>

namespace gypsumhub {

auto statesLeaving(const http::fields& head) -> bool
{
    auto [first, last] = head.equal_range(wire_names::leaving);
    return std::any_of(first, last, [](auto& field) { return field.value() == "1"; });
}

} // namespace gypsumhub
