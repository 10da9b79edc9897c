#include "gypsumhub/proxy/claim_wait.h"

#include <boost/asio/post.hpp>
#include <optional>
#include <utility>

namespace gypsumhub {

namespace {

    // A claim that waits for its verdict. Used only by the request thread.
    struct pending_claim {
        explicit pending_claim(asio::io_context& context)
            : timer(context)
        {
        }

        steady_timer timer;
        std::optional<claim_verdict> verdict;
        bool abandoned { false };
    };

    auto deliver(claim_port& port, const claim_query& query, pending_claim& pending, claim_verdict verdict) -> void
    {
        if (pending.abandoned) {
            // The request has already been refused and was not sent.
            if (verdict.decision == claim_decision::Dispatch)
                port.finish(query, claim_end::NotRun, nullptr);
            return;
        }
        pending.verdict = std::move(verdict);
        pending.timer.cancel();
    }

} // namespace

auto awaitClaim(
    claim_port& port, std::shared_ptr<asio::io_context> context, claim_query query, time_point now, request_cancellation& cancellation)
    -> task<claim_verdict>
{
    auto pending = std::make_shared<pending_claim>(*context);
    pending->timer.expires_after(std::chrono::nanoseconds((query.deadline - now).ns));
    cancellation.setHandler([pending] { pending->timer.cancel(); });
    // The verdict may arrive on any thread and is posted to the request thread.
    port.claim(query, [&port, context, pending, query](claim_verdict verdict) {
        asio::post(*context, [&port, pending, query, verdict = std::move(verdict)]() mutable {
            deliver(port, query, *pending, std::move(verdict));
        });
    });
    co_await pending->timer.async_wait(useTask);
    cancellation.setHandler(nullptr);
    if (pending->verdict)
        co_return std::move(*pending->verdict);
    pending->abandoned = true;
    auto code = cancellation.cancelled() ? result_code::CallerWentAway : result_code::IdempotencyOwnerUnreachable;
    co_return claim_verdict { claim_decision::Refuse, code, nullptr };
}

} // namespace gypsumhub
