#include "gypsumhub/decision/selection/persistent_mismatch.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

TEST_CASE("a mismatch persists from the second in a row until it is cleared")
{
    auto mismatch = persistent_mismatch {};
    CHECK_FALSE(mismatch.update(true));
    CHECK_FALSE(mismatch.update(false));
    CHECK_FALSE(mismatch.update(true));
    CHECK(mismatch.update(true));
    CHECK(mismatch.update(true));
    mismatch.clear();
    CHECK_FALSE(mismatch.update(true));
}
