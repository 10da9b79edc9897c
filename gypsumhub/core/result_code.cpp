#include "gypsumhub/core/result_code.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace gypsumhub {

namespace {

    using enum result_code;
    using enum request_outcome;

    constexpr auto table = std::to_array<result_code_row>({
        { Ok, "ok", Answered, 200, "The operation succeeded." },
        { MalformedRequest, "malformed-request", NotRun, 400, "The request is not valid HTTP/1.1." },
        { RequestTooLarge, "request-too-large", NotRun, 413, "A header or the body exceeds the configured limit." },
        { RequestTooSlow, "request-too-slow", NotRun, 408, "The request did not arrive whole before the read deadline." },
        { UnknownService, "unknown-service", NotRun, 404, "No route or service matches the request." },
        { DeadlineInvalid, "deadline-invalid", NotRun, 400, "The deadline header cannot be read." },
        { CallerLimited, "caller-limited", NotRun, 429, "The caller exceeds its own request rate." },
        { TooManyConnections, "too-many-connections", NotRun, 503, "The node holds as many connections as it may." },
        { AmbiguousFraming, "ambiguous-framing", NotRun, 400, "The request's length can be read in two ways." },
        { DeadlineBeforeSend, "deadline-before-send", NotRun, 504, "The deadline passed before the first byte was sent to a target." },
        { QueueFull, "queue-full", NotRun, 503, "The request would wait past its deadline, or the queue is full." },
        { NoTargetAvailable, "no-target-available", NotRun, 503, "No target of the service can take work." },
        { NodeStopping, "node-stopping", NotRun, 503, "The node is stopping and takes no new request." },
        { NodeNotReady, "node-not-ready", NotRun, 503, "The node has no verified configuration yet, or does not serve this service now." },
        { RetryBudgetSpent, "retry-budget-spent", NotRun, 503, "The request was declined and the service's retry budget is spent." },
        { TargetShed, "target-shed", NotRun, 503, "Every target that was asked declined because of load." },
        { TargetDraining, "target-draining", NotRun, 503, "Every target that was asked declined because it is leaving." },
        { TargetConnectFailed, "target-connect-failed", NotRun, 502, "No connection to a target could be made." },
        { TargetConnectionLost, "target-connection-lost", Unknown, 502, "The connection ended after the request was sent and before the answer began." },
        { TargetTimeout, "target-timeout", Unknown, 504, "The deadline passed after the request was sent." },
        { TargetAnswerCut, "target-answer-cut", Unknown, 502, "The target's answer ended before it was complete." },
        { TargetAnswerMismatched, "target-answer-mismatched", Unknown, 502, "The target's answer belongs to another request." },
        { CallerWentAway, "caller-went-away", Unknown, 499, "The caller closed its connection before the answer." },
        { IdempotencyKeyInFlight, "idempotency-key-in-flight", Unknown, 409, "An earlier request with this key has not ended yet." },
        { IdempotencyOutcomeUnknown, "idempotency-outcome-unknown", Unknown, 409, "An earlier request with this key may have run; it is not run again." },
        { IdempotencyKeyReused, "idempotency-key-reused", NotRun, 422, "The key was used for a different request." },
        { IdempotencyOwnerUnreachable, "idempotency-owner-unreachable", Unknown, 503, "The nodes that know this key cannot be asked; the request was not sent now, an earlier one may have run." },
        { IdempotencyTableFull, "idempotency-table-full", NotRun, 503, "The node can track no further idempotency key." },
        { ConfigurationInvalid, "configuration-invalid", NotRun, 422, "The register or the rules contain a fault." },
        { ConfigurationConflict, "configuration-conflict", NotRun, 409, "Another change to the same entries was accepted first." },
        { ConfigurationForked, "configuration-forked", NotRun, 409, "The store's history does not continue the verified history." },
        { ConfigurationRolledBack, "configuration-rolled-back", NotRun, 409, "The store holds an older revision than the verified one." },
        { ConfigurationChunkMissing, "configuration-chunk-missing", NotRun, 503, "A chunk named by the manifest cannot be found." },
        { ConfigurationTooLarge, "configuration-too-large", NotRun, 413, "The change does not fit the store's value size." },
        { StoreUnavailable, "store-unavailable", NotRun, 503, "The configuration store cannot be reached." },
        { StoreTimeout, "store-timeout", Unknown, 504, "The configuration store did not answer in time." },
        { StoreReplyLost, "store-reply-lost", Unknown, 504, "The write was sent and its reply was lost." },
        { StoreBudgetSpent, "store-budget-spent", NotRun, 503, "The node's budget of store calls is spent." },
        { StoreProtocolError, "store-protocol-error", Unknown, 502, "The store's answer cannot be read." },
        { StoreCompareFailed, "store-compare-failed", NotRun, 409, "The store's value changed before the write." },
        { PeerUnreachable, "peer-unreachable", NotRun, 503, "The peer node cannot be reached." },
        { PeerUnauthenticated, "peer-unauthenticated", NotRun, 401, "The sender does not hold the shared key." },
        { PeerFrameInvalid, "peer-frame-invalid", NotRun, 400, "The frame cannot be read." },
        { PeerFrameReplayed, "peer-frame-replayed", NotRun, 409, "The frame was received before." },
        { UsageError, "usage-error", NotRun, 400, "The command line is wrong." },
        { SettingsInvalid, "settings-invalid", NotRun, 422, "The settings file contains a fault." },
        { FileUnreadable, "file-unreadable", NotRun, 404, "The file cannot be read." },
        { AddressInUse, "address-in-use", NotRun, 409, "The address is in use by another process." },
        { TraceInvalid, "trace-invalid", NotRun, 422, "The trace file contains a fault." },
        { TraceOutcomeMissed, "trace-outcome-missed", NotRun, 422, "The replay did not reach the trace's stated outcome." },
        { Internal, "internal", Unknown, 500, "An invariant of the product was broken." },
    });

    static_assert(std::ranges::is_sorted(table, {}, &result_code_row::code));

} // namespace

auto resultCodeTable() -> std::span<const result_code_row>
{
    return table;
}

auto describe(result_code code) -> const result_code_row&
{
    auto row = std::ranges::lower_bound(table, code, {}, &result_code_row::code);
    assert(row != table.end() && row->code == code);
    return *row;
}

auto resultCodeFromNumber(uint16_t number) -> std::optional<result_code>
{
    auto code = static_cast<result_code>(number);
    auto row = std::ranges::lower_bound(table, code, {}, &result_code_row::code);
    if (row == table.end() || row->code != code)
        return std::nullopt;
    return code;
}

auto toString(request_outcome outcome) -> std::string_view
{
    switch (outcome) {
    case Answered:
        return "answered";
    case NotRun:
        return "not-run";
    case Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace gypsumhub
