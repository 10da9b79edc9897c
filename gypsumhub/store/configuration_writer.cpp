#include "gypsumhub/store/configuration_writer.h"

#include "gypsumhub/store/caught_result.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

namespace {

    auto entriesOf(config_document document, std::vector<configuration_entry> entries) -> std::vector<configuration_entry>
    {
        auto prefix = std::string(toString(document)) + '/';
        std::erase_if(entries, [&](auto& entry) { return !entry.key.starts_with(prefix); });
        return entries;
    }

    auto documentEntries(config_document document, const std::shared_ptr<const config_revision>& revision) -> leaf::result<std::vector<configuration_entry>>
    {
        if (!revision)
            return std::vector<configuration_entry> {};
        BOOST_LEAF_AUTO(entries, revision->entries());
        return entriesOf(document, std::move(entries));
    }

    auto conflictWith(const std::vector<entry_conflict>& conflicts) -> leaf::error_id
    {
        auto list = fault_list {};
        for (auto& conflict : conflicts) {
            list.faults.push_back({ result_code::ConfigurationConflict, "another operator changed the same entry: " + formatConflict(conflict), {}, 0,
                "show the document again and make the change to what is in force now" });
        }
        return leaf::new_error(std::move(list));
    }

} // namespace

configuration_writer::configuration_writer(store& destination, settings limits, store_clock clock)
    : m_settings(limits)
    , m_clock(clock)
    , m_loader(destination)
    , m_publisher(destination, std::move(clock))
{
}

auto configuration_writer::apply(const document_proposal& proposal, time_point deadline) -> leaf::result<accepted_change>
{
    auto plan = [&](auto& current) { return planDocument(proposal, current, deadline); };
    return change(plan, proposal.origin, true, deadline);
}

auto configuration_writer::dryRun(const document_proposal& proposal, time_point deadline) -> leaf::result<accepted_change>
{
    auto plan = [&](auto& current) { return planDocument(proposal, current, deadline); };
    return change(plan, proposal.origin, false, deadline);
}

auto configuration_writer::rollBack(uint64_t number, const revision_origin& origin, time_point deadline) -> leaf::result<accepted_change>
{
    auto plan = [&](const std::shared_ptr<const config_revision>& current) -> leaf::result<std::vector<entry_change>> {
        BOOST_LEAF_AUTO(old, loadAt(number, current, deadline));
        return diffRevisions(*current, *old);
    };
    return change(plan, origin, true, deadline);
}

auto configuration_writer::history(uint32_t limit, time_point deadline) -> leaf::result<std::vector<revision_record>>
{
    BOOST_LEAF_AUTO(head, m_loader.readHead(deadline));
    if (!head || limit == 0)
        return std::vector<revision_record> {};
    auto newest = head->record.id.number;
    BOOST_LEAF_AUTO(records, m_loader.readHistory(head->record, newest >= limit ? newest - limit + 1 : 1, deadline));
    records.insert(records.begin(), std::move(head->record));
    return records;
}

auto configuration_writer::reinstate(const config_revision& verified, time_point deadline) -> leaf::result<void>
{
    return m_publisher.overwrite(verified, deadline);
}

auto configuration_writer::change(const planner& plan, const revision_origin& origin, bool writes, time_point deadline) -> leaf::result<accepted_change>
{
    auto current = std::shared_ptr<const config_revision> {};
    for (auto commitRetries = uint32_t { 0 }; commitRetries < m_settings.maxOvertaken; ++commitRetries) {
        BOOST_LEAF_AUTO(head, m_loader.readHead(deadline));
        if (head) {
            BOOST_LEAF_ASSIGN(current, m_loader.loadRecord(head->record, current, deadline));
        }
        BOOST_LEAF_AUTO(changes, plan(current));
        if (changes.empty())
            return accepted_change { current, current, {}, commitRetries };
        // Each try has an id of its own, so that what it writes is told apart from what an earlier one took back.
        auto attempt = origin;
        if (commitRetries > 0)
            attempt.operationId += '-' + std::to_string(commitRetries);
        BOOST_LEAF_AUTO(next, makeRevision(current, changes, attempt));
        // Changes that are right each by itself may not be so together.
        BOOST_LEAF_CHECK(buildConfiguration(*next));
        if (!writes)
            return accepted_change { current, std::move(next), std::move(changes), commitRetries };
        BOOST_LEAF_AUTO(isAccepted, m_publisher.publish(*next, head, deadline));
        if (!isAccepted)
            continue;
        // The change is in force whether or not old revisions can be removed now.
        catchFaults<bool>([&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(m_publisher.removeOldRevisions(next->header, m_settings.keptRevisions, deadline));
            return true;
        });
        return accepted_change { current, std::move(next), std::move(changes), commitRetries };
    }
    return failWith({ result_code::ConfigurationConflict, "other operators' changes were accepted first " + std::to_string(m_settings.maxOvertaken) + " times", {}, 0, "try again" });
}

auto configuration_writer::planDocument(const document_proposal& proposal, const std::shared_ptr<const config_revision>& current, time_point deadline)
    -> leaf::result<std::vector<entry_change>>
{
    BOOST_LEAF_AUTO(theirs, documentEntries(proposal.document, current));
    auto currentNumber = current ? current->id.number : 0;
    if (!proposal.baseRevision || *proposal.baseRevision == currentNumber)
        return diffEntries(theirs, proposal.desired);
    auto baseRevision = std::shared_ptr<const config_revision> {};
    if (*proposal.baseRevision != 0) {
        BOOST_LEAF_ASSIGN(baseRevision, loadAt(*proposal.baseRevision, current, deadline));
    }
    BOOST_LEAF_AUTO(base, documentEntries(proposal.document, baseRevision));
    auto merged = mergeEntries(base, proposal.desired, theirs);
    if (!merged.conflicts.empty())
        return conflictWith(merged.conflicts);
    return std::move(merged.changes);
}

auto configuration_writer::loadAt(uint64_t number, const std::shared_ptr<const config_revision>& current, time_point deadline)
    -> leaf::result<std::shared_ptr<const config_revision>>
{
    if (current && current->id.number == number)
        return current;
    auto history = std::vector<revision_record> {};
    if (current && number < current->id.number && number > 0) {
        BOOST_LEAF_ASSIGN(history, m_loader.readHistory(*current->recent.back(), number, deadline));
    }
    if (history.empty() || history.back().id.number != number)
        return failWith({ result_code::ConfigurationChunkMissing, "revision " + std::to_string(number) + " is not kept", {}, 0, "`gypsumhub history` lists what is kept" });
    return m_loader.loadRecord(history.back(), current, deadline);
}

} // namespace gypsumhub
