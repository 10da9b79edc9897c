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
    // One beside us tells our own deafness apart; one beside the subject and one elsewhere see past a cut between the two.
    auto home = own->node.dataCentre;
    auto away = other->node.dataCentre;
    add([&](const member& entry) { return entry.node.dataCentre == home; });
    add([&](const member& entry) { return entry.node.dataCentre == away; });
    add([&](const member& entry) { return entry.node.dataCentre != home && entry.node.dataCentre != away; });
    while (add([](const member&) { return true; })) { }
    return helpers;
}

} // namespace gypsumhub
