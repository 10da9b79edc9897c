#include "gypsumhub/decision/request/idempotency_rules.h"

#include <doctest/doctest.h>

namespace gypsumhub {

TEST_CASE("patterns match method and path prefix, also for equivalent spellings of the path")
{
    auto rules = service_rules {};
    rules.nonIdempotent = { { "POST", "/confirm" }, { "*", "/fees/" } };
    CHECK(isNonIdempotent(rules, "POST", "/confirm/17?x=1"));
    CHECK(isNonIdempotent(rules, "PUT", "/fees/3"));
    CHECK(isNonIdempotent(rules, "POST", "/%63onfirm"));
    CHECK(isNonIdempotent(rules, "POST", "//x/../confirm"));
    CHECK_FALSE(isNonIdempotent(rules, "GET", "/confirm/17"));
    CHECK_FALSE(isNonIdempotent(rules, "POST", "/search?next=/confirm"));
    CHECK_FALSE(isNonIdempotent(rules, "POST", "/%6"));
}

} // namespace gypsumhub
