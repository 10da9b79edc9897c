#pragma once

#include "claim_explorer.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>
#include <array>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace gypsumhub {

inline constexpr auto startTime = time_point {} + minutes(10);
// The instants of the model's clock: the start, the first attempt's deadline and the second attempt's deadline. At the first
// attempt's deadline, the second attempt resends its claim.
inline constexpr auto steps = std::to_array({ startTime, startTime + seconds(2), startTime + seconds(4) });

/// Progress of one attempt of the caller.
enum class request_phase : uint8_t {
    NotMade,
    Claiming,
    MaySend,
    Running,
    Ended,
};

/// One attempt of the caller: its node, and the outcome as run and as reported to the caller.
struct caller_request {
    request_phase phase { request_phase::NotMade };
    uint64_t requestId { 0 };
    size_t node { 0 };
    bool ran { false };
    bool reportedNotRun { false };
    bool receivedAnswer { false };
    claim_query query;
};

/// A message in flight between two nodes.
struct network_message {
    size_t sender { 0 };
    size_t receiver { 0 };
    std::shared_ptr<const claim_peer_message> message;
    uint64_t hash { 0 };
};

/// A node's coordinator; shared between states until an event changes it.
struct node_state {
    std::shared_ptr<const claim_coordinator> coordinator;
    uint64_t fingerprint { 0 };
};

inline auto hashMessage(const claim_peer_message& message) -> uint64_t
{
    if (auto* claim = std::get_if<claim_message>(&message))
        return mixHashes(1, claim->requestId);
    if (auto* verdict = std::get_if<claim_verdict_message>(&message))
        return mixHashes(2 + static_cast<uint64_t>(verdict->verdict.code) * 16 + static_cast<uint64_t>(verdict->verdict.decision) * 4, verdict->requestId);
    auto& record = std::get<claim_record_message>(message);
    return mixHashes(3 + (record.end ? static_cast<uint64_t>(*record.end) + 1 : 0) * 4, record.requestId);
}

inline auto makeRegister(std::span<const size_t> nodes) -> claim_voters
{
    auto config = configuration {};
    for (auto node : nodes) {
        auto name = "n" + std::to_string(node);
        config.nodes[name] = { .name = name, .key = { node + 1 }, .dataCentre = "d" + std::to_string(node) };
    }
    return claim_voters(config);
}

/// One state of the caller, the nodes and the network in the model check; copied for each following event.
class claim_model {
public:
    explicit claim_model(const exploration_limits& limits)
        : m_losses(limits.losses)
        , m_duplicates(limits.duplicates)
        , m_crashes(limits.crashes)
        , m_timePasses(limits.timePasses)
        , m_policy(limits.policy)
    {
        auto count = limits.registerChanges ? size_t { 4 } : size_t { 3 };
        for (auto node = size_t { 0 }; node < count; ++node) {
            m_nodes.push_back({});
            start(node, 1, time_point {}, std::array<size_t, 3> { 0, 1, 2 });
        }
        m_changed.assign(count, !limits.registerChanges);
        for (auto index = size_t { 0 }; index < m_requests.size(); ++index) {
            auto attempt = limits.numbered ? static_cast<uint32_t>(index + 1) : 0;
            m_requests[index].query = { { 1 }, "key", 7, attempt, steps[index + 1] };
            m_requests[index].node = index;
        }
    }

    // Calls `visit` with every state that follows after one event.
    template <typename Visitor>
    auto forEachNext(const Visitor& visit) const -> void
    {
        for (auto index = size_t { 0 }; index < m_requests.size(); ++index)
            forEachRequestEvent(index, visit);
        for (auto index = size_t { 0 }; index < m_network.size(); ++index) {
            if (index > 0 && m_network[index].hash == m_network[index - 1].hash)
                continue;
            branch(visit, [&](claim_model& next) { next.deliver(index, false); });
            if (m_losses > 0)
                branch(visit, [&](claim_model& next) { next.lose(index); });
            if (m_duplicates > 0)
                branch(visit, [&](claim_model& next) { next.deliver(index, true); });
        }
        for (auto node = size_t { 0 }; node < m_nodes.size(); ++node) {
            if (!m_changed[node])
                branch(visit, [&](claim_model& next) { next.changeRegister(node); });
            if (m_crashes > 0)
                branch(visit, [&](claim_model& next) { next.crash(node); });
        }
        if (m_timePasses && m_step + 1 < steps.size())
            branch(visit, [&](claim_model& next) { next.advanceTime(); });
    }

    auto fingerprint() const -> uint64_t
    {
        auto hash = m_step + uint64_t { 16 } * m_losses + uint64_t { 64 } * m_duplicates + uint64_t { 256 } * m_crashes;
        for (auto node = size_t { 0 }; node < m_nodes.size(); ++node)
            hash = mixHashes(hash, mixHashes(m_nodes[node].fingerprint, m_changed[node]));
        for (auto& request : m_requests)
            hash = mixHashes(hash, static_cast<uint64_t>(request.phase) * 8 + request.ran * 4 + request.reportedNotRun * 2 + request.receivedAnswer);
        for (auto& entry : m_network)
            hash = mixHashes(hash, entry.hash);
        return hash;
    }

    // The guarantee that this state violates, or empty.
    auto violation() const -> std::string
    {
        if (m_requests[0].ran && m_requests[1].ran)
            return "ran twice";
        for (auto& request : m_requests) {
            if (request.reportedNotRun && request.ran)
                return "reported as not run, but ran";
        }
        if (m_requests[1].reportedNotRun && m_requests[1].query.attempt == 2 && m_requests[0].ran)
            return "the second attempt was reported as not run, but the first one ran";
        if (std::ranges::any_of(m_requests, &caller_request::receivedAnswer) && std::ranges::none_of(m_requests, &caller_request::ran))
            return "an answer was returned, but no attempt ran";
        return {};
    }

    auto requests() const -> std::span<const caller_request> { return m_requests; }

private:
    auto now() const -> time_point { return steps[m_step]; }

    auto start(size_t node, uint64_t incarnation, time_point startedAt, std::span<const size_t> registered) -> void
    {
        auto settings = claim_coordinator::settings { .self = { node + 1 }, .incarnation = incarnation, .policy = m_policy };
        auto started = std::make_shared<claim_coordinator>(std::move(settings), startedAt);
        auto commands = claim_command_list {};
        started->configure(makeRegister(registered), startedAt, commands);
        m_nodes[node] = { started, started->fingerprint() };
    }

    // Runs one step of a node and carries out its commands.
    template <typename Step>
    auto run(size_t node, const Step& step) -> void
    {
        auto next = std::make_shared<claim_coordinator>(*m_nodes[node].coordinator);
        auto commands = claim_command_list {};
        step(*next, commands);
        m_nodes[node] = { next, next->fingerprint() };
        apply(node, commands);
    }

    template <typename Visitor, typename Event>
    auto branch(const Visitor& visit, const Event& event) const -> void
    {
        auto next = *this;
        event(next);
        visit(std::move(next));
    }

    template <typename Visitor>
    auto forEachRequestEvent(size_t index, const Visitor& visit) const -> void
    {
        switch (m_requests[index].phase) {
        case request_phase::NotMade:
            // The caller makes its second attempt only after the first.
            if (index == 0 || m_requests[0].phase != request_phase::NotMade)
                branch(visit, [&](claim_model& next) { next.makeRequest(index); });
            break;
        case request_phase::MaySend:
            branch(visit, [&](claim_model& next) { next.sendFirstByte(index, true); });
            branch(visit, [&](claim_model& next) { next.sendFirstByte(index, false); });
            break;
        case request_phase::Running:
            branch(visit, [&](claim_model& next) { next.end(index, claim_end::Answered); });
            branch(visit, [&](claim_model& next) { next.end(index, claim_end::Unknown); });
            break;
        default:
            break;
        }
    }

    auto makeRequest(size_t index) -> void
    {
        auto& request = m_requests[index];
        request.phase = request_phase::Claiming;
        run(request.node, [&](auto& node, auto& commands) { request.requestId = node.claim(request.query, now(), commands); });
    }

    auto sendFirstByte(size_t index, bool accepted) -> void
    {
        auto& request = m_requests[index];
        // The caller of the coordinator checks the deadline right before the first byte.
        if (now() >= request.query.deadline || !accepted) {
            end(index, claim_end::NotRun);
            return;
        }
        request.phase = request_phase::Running;
        request.ran = true;
    }

    auto end(size_t index, claim_end how) -> void
    {
        auto& request = m_requests[index];
        request.phase = request_phase::Ended;
        request.reportedNotRun = how == claim_end::NotRun;
        auto answer = kept_answer { 201, {}, "done" };
        auto* kept = how == claim_end::Answered ? &answer : nullptr;
        run(request.node, [&](auto& node, auto& commands) { node.finish(request.query, how, kept, now(), commands); });
    }

    auto deliver(size_t index, bool keep) -> void
    {
        auto entry = m_network[index];
        if (keep)
            --m_duplicates;
        else
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
        run(entry.receiver, [&](auto& node, auto& commands) { node.onMessage({ entry.sender + 1 }, *entry.message, now(), commands); });
    }

    auto lose(size_t index) -> void
    {
        --m_losses;
        m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
    }

    auto advanceTime() -> void
    {
        ++m_step;
        for (auto index = size_t { 0 }; index < m_nodes.size(); ++index)
            run(index, [&](auto& node, auto& commands) { node.tick(now(), commands); });
    }

    auto changeRegister(size_t index) -> void
    {
        m_changed[index] = true;
        auto next = makeRegister(std::array<size_t, 3> { 0, 1, 3 });
        run(index, [&](auto& node, auto& commands) { node.configure(next, now(), commands); });
    }

    // The node's process crashes and starts again with an empty table.
    auto crash(size_t node) -> void
    {
        --m_crashes;
        for (auto& request : m_requests) {
            if (request.node == node && request.phase != request_phase::NotMade)
                request.phase = request_phase::Ended;
        }
        auto latest = m_changed[node] && m_nodes.size() == 4;
        start(node, 2, now(), std::array<size_t, 3> { 0, 1, latest ? size_t { 3 } : size_t { 2 } });
        dropStale();
    }

    auto apply(size_t node, const claim_command_list& commands) -> void
    {
        for (auto& command : commands) {
            if (auto* send = std::get_if<send_claim_command>(&command))
                transmit(node, *send);
            else
                decided(std::get<claim_decided_command>(command));
        }
        dropStale();
    }

    // Whether a message has no effect at its receiver. Dropping such messages merges equal states.
    auto isStale(size_t receiver, const claim_peer_message& message) const -> bool
    {
        auto* verdict = std::get_if<claim_verdict_message>(&message);
        return verdict && !m_nodes[receiver].coordinator->isPending(verdict->requestId);
    }

    auto dropStale() -> void
    {
        std::erase_if(m_network, [&](auto& entry) { return isStale(entry.receiver, *entry.message); });
    }

    auto transmit(size_t node, const send_claim_command& send) -> void
    {
        auto receiver = static_cast<size_t>(send.receiver.value - 1);
        // Acknowledgements only end resends, so delivering them at once hides no outcome.
        if (std::holds_alternative<claim_record_ack_message>(send.message)) {
            run(receiver, [&](auto& target, auto& commands) { target.onMessage({ node + 1 }, send.message, now(), commands); });
            return;
        }
        auto hash = mixHashes(hashMessage(send.message), node * 8 + receiver);
        // A copy of a message that is still in flight adds no new order of events beyond a duplicate.
        if (std::ranges::find(m_network, hash, &network_message::hash) != m_network.end())
            return;
        m_network.push_back({ node, receiver, std::make_shared<claim_peer_message>(send.message), hash });
        std::ranges::sort(m_network, {}, &network_message::hash);
    }

    auto decided(const claim_decided_command& command) -> void
    {
        for (auto& request : m_requests) {
            // The request has no id yet when the claim is decided within the call that makes it.
            auto same = request.requestId == command.requestId || (request.requestId == 0 && request.phase == request_phase::Claiming);
            if (!same || request.phase != request_phase::Claiming)
                continue;
            request.requestId = command.requestId;
            request.phase = command.verdict.decision == claim_decision::Dispatch ? request_phase::MaySend : request_phase::Ended;
            request.receivedAnswer = command.verdict.decision == claim_decision::Replay;
            if (command.verdict.decision == claim_decision::Refuse)
                request.reportedNotRun = describe(command.verdict.code).outcome == request_outcome::NotRun;
        }
    }

    std::vector<node_state> m_nodes;
    std::vector<network_message> m_network;
    std::array<caller_request, 2> m_requests;
    std::vector<bool> m_changed;
    size_t m_step { 0 };
    int m_losses;
    int m_duplicates;
    int m_crashes;
    bool m_timePasses;
    std::shared_ptr<const claim_policy> m_policy;
};

} // namespace gypsumhub
