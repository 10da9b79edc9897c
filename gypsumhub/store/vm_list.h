#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/core/time_point.h"

#include <string>
#include <vector>

namespace gypsumhub {

/// The platform's list of VMs at one instant. Changes appear in it with a delay.
struct vm_list_content {
    std::vector<std::string> live;
    std::vector<std::string> leaving;
};

/// Source of the platform's list of live and leaving VMs.
class vm_list {
public:
    virtual ~vm_list() = default;

    /// Fetches the list; blocks until `deadline` at the latest.
    virtual auto fetch(time_point deadline) -> leaf::result<vm_list_content> = 0;
};

} // namespace gypsumhub
