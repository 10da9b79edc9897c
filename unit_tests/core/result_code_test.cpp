#include "gypsumhub/core/result_code.h"

#include <doctest/doctest.h>
#include <set>
#include <string>

namespace gypsumhub {

TEST_CASE("each result code has one row with a unique name")
{
    auto names = std::set<std::string_view> {};
    for (auto& row : resultCodeTable()) {
        CHECK(names.insert(row.name).second);
        CHECK((resultCodeFromNumber(static_cast<uint16_t>(row.code)) == row.code));
        CHECK((describe(row.code).name == row.name));
    }
    CHECK_FALSE(resultCodeFromNumber(1).has_value());
}

TEST_CASE("result codes for requests that may have run have the outcome unknown")
{
    for (auto code : { result_code::TargetTimeout, result_code::TargetConnectionLost, result_code::TargetAnswerCut, result_code::IdempotencyOutcomeUnknown })
        CHECK((describe(code).outcome == request_outcome::Unknown));
}

} // namespace gypsumhub
