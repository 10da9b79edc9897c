#include "gypsumhub/decision/request/request_state.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace gypsumhub {

namespace {

    constexpr auto allResults = std::to_array({ attempt_result::Success, attempt_result::ErrorAnswer, attempt_result::MismatchedAnswer,
        attempt_result::CutAnswer, attempt_result::HungAfterHeader, attempt_result::Silent, attempt_result::ConnectFailed,
        attempt_result::ConnectionLost, attempt_result::Shed, attempt_result::Draining, attempt_result::Cancelled });

    auto mayHaveRun(attempt_result result) -> bool
    {
        return result != attempt_result::Shed && result != attempt_result::Draining;
    }

} // namespace

TEST_CASE("for random sequences of attempts, a request that is not idempotent runs at most once and 'not run' is true")
{
    auto holds = rc::check([] {
        auto idempotent = *rc::gen::arbitrary<bool>();
        auto request = request_state({ .idempotent = idempotent, .deadline = { 1000 } });
        auto budget = retry_budget {};
        auto now = time_point { 0 };
        auto runs = 0;
        auto step = next_step { request_step::RetryOnOtherTarget };
        while (step.step == request_step::RetryOnOtherTarget || step.step == request_step::RetryOnNewConnection) {
            now = now + duration { *rc::gen::inRange<int64_t>(0, 400) };
            auto attempt = request.startAttempt();
            RC_ASSERT(attempt.has_value());
            auto sent = *rc::gen::arbitrary<bool>() && request.permitSend(*attempt, now);
            RC_ASSERT(!sent || now < request.deadline());
            auto result = sent ? *rc::gen::elementOf(allResults) : attempt_result::ConnectFailed;
            if (sent && mayHaveRun(result))
                ++runs;
            step = request.endAttempt(*attempt, result, *rc::gen::arbitrary<bool>(), now, budget);
        }
        RC_ASSERT(idempotent || runs <= 1);
        if (step.step == request_step::Refuse && describe(step.code).outcome == request_outcome::NotRun)
            RC_ASSERT(runs == 0);
        RC_ASSERT(request.attempts() <= request_state::maxAttempts);
    });
    CHECK(holds);
}

TEST_CASE("a request that is not idempotent is sent again only after the target declined it")
{
    auto budget = retry_budget {};
    for (auto result : allResults) {
        auto request = request_state({ .idempotent = false, .deadline = { 100 } });
        auto attempt = *request.startAttempt();
        REQUIRE(request.permitSend(attempt, { 1 }));
        CHECK_FALSE(request.startAttempt().has_value());
        auto step = request.endAttempt(attempt, result, true, { 2 }, budget).step;
        CHECK((step == request_step::RetryOnOtherTarget) == !mayHaveRun(result));
        CHECK(request.startAttempt().has_value() == !mayHaveRun(result));
    }
}

TEST_CASE("no byte is sent after the deadline, and the refusal has the outcome not run")
{
    auto budget = retry_budget {};
    auto request = request_state({ .idempotent = false, .deadline = { 100 } });
    auto attempt = *request.startAttempt();
    CHECK_FALSE(request.permitSend(attempt, { 100 }));
    auto next = request.endAttempt(attempt, attempt_result::Cancelled, false, { 100 }, budget);
    CHECK((next.code == result_code::DeadlineBeforeSend));
}

TEST_CASE("a refusal after an attempt that may have run does not have the outcome not run")
{
    auto budget = retry_budget {};
    auto request = request_state({ .idempotent = true, .deadline = { 100 } });
    auto first = *request.startAttempt();
    REQUIRE(request.permitSend(first, { 1 }));
    CHECK((request.endAttempt(first, attempt_result::ConnectionLost, true, { 2 }, budget).step == request_step::RetryOnNewConnection));
    CHECK((request.refuse(result_code::NoTargetAvailable).code == result_code::TargetConnectionLost));
}

TEST_CASE("an error answer is kept while it is retried and returned when the retry cannot be made")
{
    auto budget = retry_budget {};
    auto request = request_state({ .idempotent = true, .deadline = { 100 } });
    auto first = *request.startAttempt();
    REQUIRE(request.permitSend(first, { 1 }));
    CHECK((request.endAttempt(first, attempt_result::ErrorAnswer, false, { 2 }, budget).step == request_step::RetryOnOtherTarget));
    CHECK((request.refuse(result_code::NoTargetAvailable).step == request_step::AnswerKept));
}

} // namespace gypsumhub
