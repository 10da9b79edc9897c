#pragma once

#include <kj/string.h>

#if defined(__clang__) && defined(__cpp_impl_three_way_comparison)
// Cap'n Proto 0.9 omits these operators in C++20 and relies on reversed candidates, which Clang 16 does not form here.
namespace kj {
inline auto operator==(const char* a, const StringPtr& b) -> bool { return b.operator==(a); }
inline auto operator!=(const char* a, const StringPtr& b) -> bool { return !b.operator==(a); }
} // namespace kj
#endif
