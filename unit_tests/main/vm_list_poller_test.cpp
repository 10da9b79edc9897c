#include "gypsumhub/main/vm_list_poller.h"

#include <doctest/doctest.h>

namespace gypsumhub {

TEST_CASE("a small fleet reads the list every two seconds, a large one no more often in all than the platform bears")
{
    CHECK((vm_list_poller::intervalFor(seconds(2), 40) == seconds(2)));
    CHECK((vm_list_poller::intervalFor(seconds(2), 200) == seconds(2)));
    CHECK((vm_list_poller::intervalFor(seconds(2), 3600) == seconds(36)));
}

} // namespace gypsumhub
