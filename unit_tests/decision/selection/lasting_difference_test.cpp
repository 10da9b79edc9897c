#include "gypsumhub/decision/selection/lasting_difference.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

TEST_CASE("one difference is a datagram under way; a second in a row lasts until what differed has been read")
{
    auto difference = lasting_difference {};
    CHECK_FALSE(difference.note(true));
    CHECK_FALSE(difference.note(false));
    CHECK_FALSE(difference.note(true));
    CHECK(difference.note(true));
    CHECK(difference.note(true));
    difference.clear();
    CHECK_FALSE(difference.note(true));
}
