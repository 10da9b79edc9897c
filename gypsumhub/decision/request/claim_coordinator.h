#pragma once

#include "gypsumhub/decision/request/claim_command.h"
#include "gypsumhub/decision/request/claim_table.h"
#include "gypsumhub/decision/request/claim_voters.h"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace gypsumhub {

/// Decides on one node whether requests that must run at most once may be dispatched. Requests a quorum of votes from the key's
/// voters for local requests, votes itself, and distributes how claimed requests ended. See docs/design/at_most_once.md.
///
/// Deterministic and single-threaded: time is an argument, messages and commands are values. Copies are independent.
class claim_coordinator {
public:
    /// Identity and limits of the coordinator.
    struct settings {
        node_key self;
        /// Differs between starts of the process, so that claims of an earlier process are not confused with its own.
        uint64_t incarnation { 1 };
        /// Local claims that may wait for votes at once.
        size_t maxPending { 10'000 };
        claim_table::settings table {};
        std::shared_ptr<const claim_policy> policy { std::make_shared<claim_policy>() };
    };

    /// Creates a coordinator with an empty table for a process that starts at `now`.
    claim_coordinator(settings, time_point now);

    /// Applies the voters of a new register. Records of keys whose voters change are sent to the new voters.
    auto configure(const claim_voters&, time_point now, claim_command_list&) -> void;

    /// Claims a key for a local request. Returns the id that the `claim_decided_command` will carry.
    auto claim(const claim_query&, time_point now, claim_command_list&) -> uint64_t;

    /// Reports the end of a claim that was decided `Dispatch`. The answer may be null.
    auto finish(const claim_query&, claim_end, const kept_answer*, time_point now, claim_command_list&) -> void;

    /// Handles a message from another node.
    auto onMessage(node_key sender, const claim_peer_message&, time_point now, claim_command_list&) -> void;

    /// Resends messages, refuses claims whose deadline has passed and removes expired entries. Call every `resendInterval`.
    auto tick(time_point now, claim_command_list&) -> void;

    /// Sends all records to the other voters of each key. Call before shutdown.
    auto sendAllRecords(claim_command_list&) const -> void;

    /// Claims that wait for votes.
    auto pendingCount() const -> size_t { return m_pending.size(); }
    /// Whether a claim still waits for votes.
    auto isPending(uint64_t requestId) const -> bool { return m_pending.contains(requestId); }
    auto table() const -> const claim_table& { return m_table; }

    /// Hash of the state that determines further behaviour. For the model check.
    auto fingerprint() const -> uint64_t;

    /// Time between two messages to a voter that has not answered.
    static constexpr auto resendInterval = milliseconds(50);

private:
    /// A voter of a pending claim and its latest answer.
    struct voter_answer {
        node_key voter;
        bool answered { false };
        bool voted { false };
        result_code refusal { result_code::Ok };
    };
    /// A local claim that waits for votes.
    struct pending_claim {
        claim_query query;
        std::vector<voter_answer> answers;
        time_point resendAt;
    };
    /// A record that some voters have not acknowledged yet.
    struct unconfirmed_record {
        claim_record_message message;
        std::vector<node_key> receivers;
        time_point resendAt;
        time_point giveUpAt;
    };
    using pending_map = std::map<uint64_t, pending_claim>;

    auto historyComplete(const claim_key&, time_point now) const -> bool;
    auto requestVotes(uint64_t requestId, time_point now, claim_command_list&) -> void;
    auto onVerdict(uint64_t requestId, node_key voter, const claim_verdict&, time_point now, claim_command_list&) -> void;
    auto decide(uint64_t requestId, const claim_verdict&, time_point now, claim_command_list&) -> void;
    auto canReachQuorum(const pending_claim&) const -> bool;
    auto distribute(claim_record_message, time_point now, claim_command_list&) -> void;
    auto onClaim(node_key sender, const claim_message&, time_point now, claim_command_list&) -> void;
    auto onRecord(node_key sender, const claim_record_message&, time_point now, claim_command_list&) -> void;
    auto onAck(node_key sender, const claim_record_ack_message&) -> void;
    auto resendRecords(time_point now, claim_command_list&) -> void;

    settings m_settings;
    claim_table m_table;
    claim_voters m_voters;
    // Voters before the latest change of the register. A node that was not a voter of a key then has no complete history of it.
    claim_voters m_previousVoters;
    time_point m_historyCompleteAt;
    time_point m_previousVotersUntil;
    uint64_t m_nextRequest { 0 };
    pending_map m_pending;
    std::map<claim_key, uint64_t> m_dispatched;
    std::map<uint64_t, unconfirmed_record> m_unconfirmed;
};

} // namespace gypsumhub
