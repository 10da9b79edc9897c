#include "gypsumhub/config/revision_chain.h"

#include <string>
#include <utility>

namespace gypsumhub {

namespace {

    auto describeRevision(const revision_id& id) -> std::string
    {
        return std::to_string(id.number) + ' ' + toHex(id.hash).substr(0, 12);
    }

    auto rolledBack(const revision_id& verified, const revision_id& found) -> leaf::error_id
    {
        return failWith({ result_code::ConfigurationRolledBack, "revision " + describeRevision(found) + " is older than the verified revision " + describeRevision(verified), {}, 0,
            "the store was restored to an earlier state; restore the fleet's revision with `gypsumhub register reinstate`" });
    }

    auto forked(const revision_id& verified, const revision_id& found) -> leaf::error_id
    {
        return failWith({ result_code::ConfigurationForked, "revision " + describeRevision(found) + " does not continue the verified revision " + describeRevision(verified), {}, 0,
            "the store's history was replaced; see docs/operators/store_outage.md" });
    }

} // namespace

auto checkHead(const revision_id& verified, const revision_id& head) -> leaf::result<void>
{
    if (head.number < verified.number)
        return rolledBack(verified, head);
    if (head.number == verified.number && head.hash != verified.hash)
        return forked(verified, head);
    return {};
}

auto verifyChild(const revision_id& verified, const revision_record& next) -> leaf::result<void>
{
    BOOST_LEAF_CHECK(checkHead(verified, next.id));
    if (next.header.number > verified.number + 1) {
        auto message = "the history between revision " + describeRevision(verified) + " and revision " + describeRevision(next.id) + " is not available";
        return failWith({ result_code::ConfigurationChunkMissing, std::move(message), {}, 0, "fetch it from a node or a store that has it, or restart this node" });
    }
    if (next.header.number != verified.number + 1 || next.header.parent != verified.hash)
        return forked(verified, next.id);
    return {};
}

auto verifyChain(const revision_id& verified, std::span<const revision_record> chain) -> leaf::result<void>
{
    if (chain.empty())
        return {};
    auto last = verified;
    // A node without a configuration has no history that the chain must continue.
    if (last.number == 0)
        last = { chain.front().header.number - 1, chain.front().header.parent };
    for (auto& record : chain) {
        BOOST_LEAF_CHECK(verifyChild(last, record));
        last = record.id;
    }
    return {};
}

} // namespace gypsumhub
