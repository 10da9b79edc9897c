#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/core/time_point.h"

#include <string>
#include <vector>

namespace gypsumhub {

/// The platform's list of VMs at one moment; it lags behind the truth.
struct vm_list_content {
    std::vector<std::string> live;
    std::vector<std::string> leaving;
};

/// The platform's lagging list of live and leaving VMs.
class vm_list {
public:
    virtual ~vm_list() = default;

    /// The list, at the latest by `deadline`.
    virtual auto fetch(time_point deadline) -> leaf::result<vm_list_content> = 0;
};

} // namespace gypsumhub
