#include "gypsumhub/main/vm_list_poller.h"

#include <doctest/doctest.h>

namespace gypsumhub {

TEST_CASE("the poll interval is two seconds in a small fleet and grows with a large one, which limits the reads of the whole fleet")
{
    CHECK((vm_list_poller::intervalFor(seconds(2), 40) == seconds(2)));
    CHECK((vm_list_poller::intervalFor(seconds(2), 200) == seconds(2)));
    CHECK((vm_list_poller::intervalFor(seconds(2), 3600) == seconds(36)));
}

} // namespace gypsumhub
