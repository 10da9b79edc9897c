#pragma once

#include "gypsumhub/core/fault.h"

#include <utility>

namespace gypsumhub {

/// Calls a function that returns a `leaf::result` and returns the faults of its failure. Empty on success.
template <typename Function>
auto faultsOf(Function&& function) -> fault_list
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<fault_list> {
            auto result = function();
            if (!result)
                return result.error();
            return fault_list {};
        },
        [](fault_list list) { return list; },
        [] { return fault_list { { { result_code::Internal, "the failure carries no faults" } } }; });
}

/// The code of the first fault, or `Ok` on success.
template <typename Function>
auto codeOf(Function&& function) -> result_code
{
    auto list = faultsOf(std::forward<Function>(function));
    return list.faults.empty() ? result_code::Ok : list.faults.front().code;
}

} // namespace gypsumhub
