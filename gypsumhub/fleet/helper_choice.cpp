#include "gypsumhub/fleet/helper_choice.h"

#include <algorithm>

namespace gypsumhub {

auto chooseHelpers(const member_table& table, node_key self, node_key subject, std::size_t count, random_generator& random)
    -> std::vector<node_key>
{
    auto* own = table.find(self);
    auto* other = table.find(subject);
    auto helpers = std::vector<node_key> {};
    if (!own || !other)
        return helpers;
    auto usable = [&](const member& entry) {
        auto key = entry.node.key;
        auto isNew = std::ranges::find(helpers, key) == helpers.end();
        return entry.isAvailable() && isNew && key != subject && key != self;
    };
    auto add = [&](auto predicate) {
        if (helpers.size() >= count)
            return false;
        auto found = table.pick(random, [&](const member& entry) { return usable(entry) && predicate(entry); });
        if (found)
            helpers.push_back(*found);
        return found.has_value();
    };
    // A helper in the data centre of `self` reveals a failure of the connectivity of `self`; one near the subject and one elsewhere
    // bypass a failed path between the two.
    auto ownDataCentre = own->node.dataCentre;
    auto subjectDataCentre = other->node.dataCentre;
    add([&](const member& entry) { return entry.node.dataCentre == ownDataCentre; });
    add([&](const member& entry) { return entry.node.dataCentre == subjectDataCentre; });
    add([&](const member& entry) { return entry.node.dataCentre != ownDataCentre && entry.node.dataCentre != subjectDataCentre; });
    while (add([](const member&) { return true; })) { }
    return helpers;
}

} // namespace gypsumhub
