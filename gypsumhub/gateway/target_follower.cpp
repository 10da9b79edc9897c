#include "gypsumhub/gateway/target_follower.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/platform/registration_document.h"
#include "gypsumhub/platform/wire_names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace gypsumhub {

namespace {

    constexpr auto targetWait = milliseconds(1000);
    // Targets report about every second and a half, so that a watch ends at once; this bounds the calls.
    constexpr auto targetPause = milliseconds(700);
    // One differing view may be a datagram under way; two in a row are a lost one.
    constexpr auto differencesBeforeReading = 2U;

} // namespace

target_follower::target_follower(store_access& access, listeners listeners)
    : m_access(access)
    , m_listeners(std::move(listeners))
{
}

auto target_follower::start() -> void
{
    asio::co_spawn(m_access.context().io.get_executor(), follow(), asio::detached);
}

auto target_follower::takeReaderHello(const node_hello& hello) -> void
{
    auto& context = m_access.context();
    if (hello.viewDigest == context.view.digest()) {
        m_differences = 0;
        context.viewConfirmedAt = std::max(context.viewConfirmedAt, bootClockNow() - hello.viewAge);
    } else if (++m_differences >= differencesBeforeReading)
        m_mustList = true;
}

auto target_follower::follow() -> task<>
{
    for (;;) {
        auto now = bootClockNow();
        auto isReader = m_access.context().roster.isReader(now);
        if (!isReader && !m_mustList) {
            // Another node reads for this one; what was read here grows old.
            m_revision = 0;
            co_await m_access.pause(readerCheckPause);
            continue;
        }
        auto isRead = false;
        if (m_revision == 0 || m_mustList)
            isRead = co_await readAll();
        else
            isRead = co_await readChanges();
        co_await m_access.pause(isRead ? targetPause : storeRetryPause);
    }
}

auto target_follower::readAll() -> task<bool>
{
    auto listed = co_await m_access.store().list(std::string(wire_names::targetPrefix), bootClockNow() + storeCallLimit);
    if (!m_access.noteStore("registrations", listed.status))
        co_return false;
    auto targets = std::vector<target_registration> {};
    for (auto& entry : listed.value.entries) {
        if (auto read = readEntry(entry))
            targets.push_back(std::move(*read));
    }
    m_revision = listed.value.revision;
    m_access.context().viewConfirmedAt = bootClockNow();
    m_mustList = false;
    m_differences = 0;
    auto changes = m_access.context().view.replace(targets, listed.value.revision, bootClockNow());
    apply(changes);
    m_listeners.spread(changes);
    m_hasTargets = true;
    m_listeners.progress();
    co_return true;
}

auto target_follower::readChanges() -> task<bool>
{
    auto followed = co_await m_access.store().follow(std::string(wire_names::targetPrefix), m_revision, bootClockNow() + targetWait);
    if (!m_access.noteStore("registrations", followed.status)) {
        m_revision = 0;
        co_return false;
    }
    m_revision = followed.value.revision;
    m_access.context().viewConfirmedAt = bootClockNow();
    auto changes = std::vector<view_change> {};
    for (auto& event : followed.value.changes) {
        auto change = std::optional<view_change> {};
        auto read = event.isRemoval ? std::nullopt : readEntry(event.entry);
        if (read)
            change = m_access.context().view.put(*read);
        else if (event.isRemoval)
            change = m_access.context().view.remove(targetIdOf(event.entry.key), event.entry.modRevision, bootClockNow());
        if (change)
            changes.push_back(std::move(*change));
    }
    apply(changes);
    m_listeners.spread(changes);
    co_return true;
}

auto target_follower::readEntry(const store_entry& entry) -> std::optional<target_registration>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<target_registration>> {
            BOOST_LEAF_AUTO(read, readRegistrationDocument(entry, bootClockNow()));
            return std::optional(read);
        },
        [&](const fault_list& faults) -> std::optional<target_registration> {
            m_access.context().log.write(log_class::Notable, "registration_refused", { { "key", entry.key }, { "revision", entry.modRevision }, { "reason", joinMessages(faults) } });
            return std::nullopt;
        },
        [&]() -> std::optional<target_registration> { return std::nullopt; });
}

auto target_follower::apply(std::span<const view_change> changes) -> void
{
    auto now = bootClockNow();
    for (auto& change : changes) {
        auto& entry = change.registration;
        if (change.isRemoval) {
            m_access.context().board.remove(entry.id);
            m_access.context().links.removeTarget(entry.id);
        } else
            m_access.context().board.put(entry, now, m_hasTargets);
        auto what = change.isRemoval ? "target_removed" : entry.isDraining ? "target_draining"
                                                                           : "target_registered";
        m_access.context().log.write(log_class::Notable, what,
            { { "target", entry.id }, { "service", entry.service }, { "revision", entry.revision }, { "incarnation", entry.incarnation } });
        m_access.context().lane(entry.service).pump();
    }
}

auto target_follower::takeChanges(std::span<const view_change> told) -> void
{
    auto changes = std::vector<view_change> {};
    for (auto& change : told) {
        auto& entry = change.registration;
        auto taken = change.isRemoval ? m_access.context().view.remove(entry.id, entry.revision, bootClockNow()) : m_access.context().view.put(entry);
        if (taken)
            changes.push_back(std::move(*taken));
    }
    apply(changes);
    // The first node of a distant data centre passes on what it is fed.
    if (m_access.context().roster.isFedFromAfar(bootClockNow()) || m_access.context().roster.isReader(bootClockNow()))
        m_listeners.spread(changes);
}

auto target_follower::tick() -> void
{
    auto changes = m_access.context().view.takeRemovals(bootClockNow());
    if (changes.empty())
        return;
    apply(changes);
    if (m_access.context().roster.isReader(bootClockNow()))
        m_listeners.spread(changes);
}

} // namespace gypsumhub
