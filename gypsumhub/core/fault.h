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

/// One fault for people: what is wrong, where, and what would be right.
struct fault {
    result_code code { result_code::Internal };
    std::string message;
    /// Path of the file, or empty.
    std::string file {};
    /// Line in the file counted from 1, or 0.
    uint32_t line { 0 };
    /// What the operator can write instead, or empty.
    std::string hint {};
};

/// The faults of one failed operation, in order of line. The error object that `leaf::new_error` carries in this project.
struct fault_list {
    std::vector<fault> faults;
};

/// "FILE:LINE: MESSAGE; MEND (CODE NAME)".
auto toString(const fault&) -> std::string;

/// Makes a LEAF error that carries a single fault.
auto failWith(fault) -> leaf::error_id;

} // namespace gypsumhub
