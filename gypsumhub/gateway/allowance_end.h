#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>

namespace gypsumhub {

/// Whether a request is within the limit of its customer.
struct allowance_end {
    enum kind : uint8_t {
        Granted,
        OverLimit,
        /// No node granted or denied a credit in time.
        Unavailable,
    };

    kind kind { Unavailable };
    /// Granted: the credit may be given back until then. OverLimit: when a request may be served.
    time_point until {};
};

} // namespace gypsumhub
