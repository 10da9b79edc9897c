#include "gypsumhub/fleet/evidence_sender.h"

#include <algorithm>
#include <optional>

namespace gypsumhub {

namespace {

    // Approximate encoded sizes, charged to the budget.
    constexpr auto frameBytes = int64_t { 400 };
    constexpr auto itemBytes = int64_t { 48 };
    constexpr auto receiverBytes = int64_t { 9 };
    constexpr auto nsPerSecond = int64_t { 1'000'000'000 };

} // namespace

evidence_sender::evidence_sender(const evidence_sender_settings& settings, const membership& view, peer_sender& sender)
    : m_settings(settings)
    , m_membership(view)
    , m_sender(sender)
{
}

auto evidence_sender::add(const send_evidence_command& command, time_point now) -> void
{
    auto receivers = command.receivers;
    std::erase(receivers, m_settings.self);
    if (receivers.empty() || command.items.empty())
        return;
    auto [entry, isNew] = m_batches.try_emplace(std::move(receivers));
    if (isNew)
        entry->second.dueAt = now + m_settings.batchTime;
    for (auto& item : command.items)
        entry->second.items[{ item.service, item.target }] = item;
    m_counts.itemsAdded += command.items.size();
}

auto evidence_sender::tick(time_point now) -> void
{
    m_now = now;
    std::erase_if(m_batches, [&](auto& entry) { return entry.second.dueAt <= now && trySend(entry.first, entry.second, now); });
}

auto evidence_sender::trySend(const std::vector<node_key>& receivers, const batch& entry, time_point now) -> bool
{
    auto planned = plan(receivers);
    auto bytes = int64_t { 0 };
    for (auto& message : planned)
        bytes += frameBytes + static_cast<int64_t>(entry.items.size()) * itemBytes + static_cast<int64_t>(message.forwardTo.size()) * receiverBytes;
    if (m_budgetUsedUntil > now)
        return false;
    chargeBudget(bytes, now);

    auto message = evidence_message {};
    for (auto& [target, item] : entry.items)
        message.items.push_back(item);
    for (auto& next : planned) {
        message.forwardTo = next.forwardTo;
        m_sender.send(next.receiver, message);
    }
    m_counts.messages += planned.size();
    m_counts.itemsSent += message.items.size();
    ++m_rotation;
    return true;
}

auto evidence_sender::chargeBudget(int64_t bytes, time_point now) -> void
{
    // After an idle time up to `burstBytes` may be sent at once.
    auto burst = duration { m_settings.burstBytes * nsPerSecond / m_settings.bytesPerSecond };
    m_budgetUsedUntil = std::max(m_budgetUsedUntil, now - burst) + duration { bytes * nsPerSecond / m_settings.bytesPerSecond };
}

auto evidence_sender::plan(std::vector<node_key> receivers) -> std::vector<planned_message>
{
    auto ownDataCentre = dataCentreOf(m_settings.self);
    auto planned = std::vector<planned_message> {};
    auto remote = std::map<uint16_t, std::vector<node_key>> {};
    for (auto receiver : receivers) {
        auto dataCentre = dataCentreOf(receiver);
        // Receivers whose data centre is not known are sent to directly.
        if (!m_settings.usesRelays || !dataCentre || dataCentre == ownDataCentre)
            planned.push_back({ receiver, {} });
        else
            remote[*dataCentre].push_back(receiver);
    }
    for (auto& [dataCentre, members] : remote) {
        std::ranges::rotate(members, members.begin() + static_cast<std::ptrdiff_t>(m_rotation % members.size()));
        planned.push_back({ members.front(), { members.begin() + 1, members.end() } });
    }
    return planned;
}

auto evidence_sender::handle(node_key sender, const evidence_message& message) -> evidence_event
{
    auto origin = message.origin.value_or(sender);
    for (auto receiver : message.forwardTo) {
        if (receiver == m_settings.self || receiver == sender)
            continue;
        // `forwardTo` is empty, so that the evidence is relayed only once.
        m_sender.send(receiver, evidence_message { message.items, origin, {} });
        ++m_counts.forwarded;
        // Relayed without delay; the bytes are charged to this node's budget and delay its own evidence instead.
        chargeBudget(frameBytes + static_cast<int64_t>(message.items.size()) * itemBytes, m_now);
    }
    return { origin, message.items };
}

auto evidence_sender::dataCentreOf(node_key key) const -> std::optional<uint16_t>
{
    auto* entry = m_membership.table().find(key);
    return entry ? std::optional(entry->node.dataCentre) : std::nullopt;
}

} // namespace gypsumhub
