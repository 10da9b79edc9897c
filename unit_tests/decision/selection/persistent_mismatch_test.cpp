#include "gypsumhub/decision/selection/persistent_mismatch.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

TEST_CASE("one difference is a datagram under way; a second in a row lasts until what differed has been read")
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
