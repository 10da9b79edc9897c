#pragma once

#include "gypsumhub/gateway/json_logger.h"

#include <cstddef>
#include <list>

namespace gypsumhub {

class request_handler;

/// The requests that a node has read and not answered yet, to tell at the end of the process which ones it cuts.
class unanswered_requests {
public:
    /// Lists a request for as long as its handler exists.
    class registration {
    public:
        registration(unanswered_requests&, const request_handler&);
        ~registration();
        registration(const registration&) = delete;
        auto operator=(const registration&) -> registration& = delete;

    private:
        unanswered_requests& m_owner;
        std::list<const request_handler*>::iterator m_entry;
    };

    /// Number of requests whose callers are still there.
    auto count() const -> size_t;
    /// Writes a line `request_cut` for each of them in order of arrival, up to a limit.
    auto log(json_logger&) const -> void;

private:
    std::list<const request_handler*> m_handlers;
};

} // namespace gypsumhub
