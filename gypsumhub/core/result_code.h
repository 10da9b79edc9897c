#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace gypsumhub {

/// Whether the request ran, as reported to its caller.
enum class request_outcome : uint8_t {
    /// The request ran, and the target's complete answer is returned.
    Answered,
    /// No byte of the request reached a target, or the target itself declined to run it.
    NotRun,
    /// The request may or may not have run.
    Unknown,
};

/// Numbered result of an operation. The numbers are part of the public interface: docs/RESULT_CODES.md.
///
/// 0 success; 1xx caller's request; 2xx capacity; 3xx target; 4xx idempotency; 5xx configuration; 6xx platform;
/// 7xx peers; 8xx command line and settings; 9xx internal.
enum class result_code : uint16_t {
    Ok = 0,

    MalformedRequest = 100,
    RequestTooLarge = 101,
    RequestTooSlow = 102,
    UnknownService = 103,
    DeadlineInvalid = 104,
    CallerLimited = 105,
    TooManyConnections = 106,
    AmbiguousFraming = 107,

    DeadlineBeforeSend = 200,
    QueueFull = 201,
    NoTargetAvailable = 202,
    NodeStopping = 203,
    NodeNotReady = 204,
    RetryBudgetSpent = 205,

    TargetShed = 300,
    TargetDraining = 301,
    TargetConnectFailed = 302,
    TargetConnectionLost = 303,
    TargetTimeout = 304,
    TargetAnswerCut = 305,
    TargetAnswerMismatched = 306,
    CallerWentAway = 307,

    IdempotencyKeyInFlight = 400,
    IdempotencyOutcomeUnknown = 401,
    IdempotencyKeyReused = 402,
    IdempotencyOwnerUnreachable = 403,
    IdempotencyTableFull = 404,

    ConfigurationInvalid = 500,
    ConfigurationConflict = 501,
    ConfigurationForked = 502,
    ConfigurationRolledBack = 503,
    ConfigurationChunkMissing = 504,
    ConfigurationTooLarge = 505,

    StoreUnavailable = 600,
    StoreTimeout = 601,
    StoreReplyLost = 602,
    StoreBudgetSpent = 603,
    StoreProtocolError = 604,
    StoreCompareFailed = 605,

    PeerUnreachable = 700,
    PeerUnauthenticated = 701,
    PeerFrameInvalid = 702,
    PeerFrameReplayed = 703,

    UsageError = 800,
    SettingsInvalid = 801,
    FileUnreadable = 802,
    AddressInUse = 803,
    TraceInvalid = 804,
    TraceOutcomeMissed = 805,

    Internal = 900,
};

/// One row of the table of result codes.
struct result_code_row {
    result_code code;
    /// Stable name in kebab case, sent to callers in the `Gypsumhub-Result` header as `NUMBER NAME`.
    std::string_view name;
    /// The outcome of a request that ends with this code.
    request_outcome outcome;
    /// HTTP status used when the code is sent to a caller.
    uint16_t httpStatus;
    /// Description in one sentence; also listed in docs/RESULT_CODES.md.
    std::string_view text;
};

/// The whole table in ascending order of code.
auto resultCodeTable() -> std::span<const result_code_row>;

/// The row of one code; every enumerator has a row.
auto describe(result_code) -> const result_code_row&;

/// The code with this number, or nothing if there is none.
auto resultCodeFromNumber(uint16_t number) -> std::optional<result_code>;

/// "answered", "not-run" or "unknown", as sent in the `Gypsumhub-Outcome` header.
auto toString(request_outcome) -> std::string_view;

} // namespace gypsumhub
