#include "gypsumhub/decision/attempt_report.h"

namespace gypsumhub {

auto toString(attempt_result result) -> const char*
{
    switch (result) {
    case attempt_result::Success:
        return "success";
    case attempt_result::ErrorAnswer:
        return "error-answer";
    case attempt_result::MismatchedAnswer:
        return "mismatched-answer";
    case attempt_result::CutAnswer:
        return "cut-answer";
    case attempt_result::HungAfterHeader:
        return "hung-after-header";
    case attempt_result::Silent:
        return "silent";
    case attempt_result::Overdue:
        return "overdue";
    case attempt_result::ConnectFailed:
        return "connect-failed";
    case attempt_result::ConnectionLost:
        return "connection-lost";
    case attempt_result::Shed:
        return "shed";
    case attempt_result::Draining:
        return "draining";
    case attempt_result::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

auto isFailure(attempt_result result) -> bool
{
    switch (result) {
    case attempt_result::Success:
    case attempt_result::Shed:
    case attempt_result::Draining:
    case attempt_result::Cancelled:
        return false;
    default:
        return true;
    }
}

} // namespace gypsumhub
