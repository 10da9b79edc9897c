#pragma once

#include "gypsumhub/core/fault.h"

#include <optional>
#include <utility>

namespace gypsumhub {

/// Outcome of an operation whose failure is handled by the caller instead of being propagated.
template <typename T>
struct caught_result {
    std::optional<T> value;
    /// The faults of the failure; empty on success.
    fault_list faults;

    /// The first fault's code, or `Ok`.
    auto code() const -> result_code { return faults.faults.empty() ? result_code::Ok : faults.faults.front().code; }
};

/// Runs a function that returns `leaf::result<T>` and catches its faults.
template <typename T, typename Function>
auto catchFaults(Function&& function) -> caught_result<T>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<caught_result<T>> {
            BOOST_LEAF_AUTO(value, function());
            return caught_result<T> { std::move(value), {} };
        },
        [](fault_list& list) { return caught_result<T> { std::nullopt, std::move(list) }; },
        [] { return caught_result<T> { std::nullopt, { { { result_code::Internal, "the operation failed without reporting a fault" } } } }; });
}

} // namespace gypsumhub
