#pragma once

namespace gypsumhub {

/// Whether an answer with this status precedes the final one: 1xx except 101, since no request asks for another protocol.
constexpr auto isInterimStatus(unsigned status) -> bool
{
    return status / 100 == 1 && status != 101;
}

/// Whether HTTP defines this status for a final answer (RFC 9110, section 15). An answer with any other status, such as 000, is broken:
/// the request may have run.
constexpr auto isFinalStatus(unsigned status) -> bool
{
    return status >= 200 && status <= 599;
}

} // namespace gypsumhub
