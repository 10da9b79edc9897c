#pragma once

#include "gypsumhub/core/result_code.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

namespace leaf = boost::leaf;

/// One error message: what is wrong, where, and how to correct it.
struct fault {
    result_code code { result_code::Internal };
    std::string message;
    /// Path of the file, or empty.
    std::string file {};
    /// Line in the file counted from 1, or 0.
    uint32_t line { 0 };
    /// How the operator can correct the fault, or empty.
    std::string hint {};
};

/// The faults of one failed operation, in order of line. The only error object that is passed to `leaf::new_error`.
struct fault_list {
    std::vector<fault> faults;
};

/// Formats a fault as "FILE:LINE: MESSAGE; HINT (CODE NAME)"; absent parts are left out.
auto toString(const fault&) -> std::string;

/// Creates a LEAF error that contains a single fault.
auto failWith(fault) -> leaf::error_id;

} // namespace gypsumhub
