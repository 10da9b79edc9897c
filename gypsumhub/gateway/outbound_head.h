#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/proxy/request_reader.h"

#include <string>
#include <string_view>

namespace gypsumhub {

/// The head of a caller's request as it goes to one target.
class outbound_head {
public:
    explicit outbound_head(const inbound_message&);

    /// The target that alone may run the request, and how long it may work.
    auto setTarget(std::string_view id) -> outbound_head&;
    auto setTimeLeft(duration) -> outbound_head&;
    auto build() const -> std::string;

private:
    const inbound_message& m_request;
    std::string m_target;
    duration m_timeLeft;
};

} // namespace gypsumhub
