#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/fleet/member_table.h"

#include <vector>

namespace gypsumhub {

/// Chooses up to `count` helpers that probe `subject` on behalf of `self`: one in the data centre of `self`, one in that of
/// the subject, one in another data centre, then any.
auto chooseHelpers(const member_table&, node_key self, node_key subject, std::size_t count, random_generator&)
    -> std::vector<node_key>;

} // namespace gypsumhub
