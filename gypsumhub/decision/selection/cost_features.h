#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gypsumhub {

/// The properties of a request by which its work is estimated. An empty text means that the request does not have the property.
struct cost_features {
    std::string_view service;
    std::string_view route {};
    std::string_view customer {};
    /// The first segment of the path after the prefix of the route.
    std::string_view segment {};
    size_t bodyBytes { 0 };
};

/// The class of a body's size: 0 for no body, otherwise one more than the power of four that its bytes reach.
auto sizeClassOf(size_t bodyBytes) -> uint32_t;

} // namespace gypsumhub
