#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace gypsumhub {

/// An integer identifier whose type differs from that of every other kind of identifier.
template <typename Tag, typename Rep>
struct strong_id {
    Rep value { 0 };

    friend constexpr auto operator<=>(strong_id, strong_id) = default;
};

/// Fleet-wide identity of a target VM: the 64-bit hash of its register name, see `hashName`.
using vm_key = strong_id<struct vm_key_tag, uint64_t>;
/// Fleet-wide identity of a service: the 64-bit hash of its register name.
using service_key = strong_id<struct service_key_tag, uint64_t>;
/// Fleet-wide identity of a node: the 64-bit hash of its name.
using node_key = strong_id<struct node_key_tag, uint64_t>;
/// Index of a data centre in the sorted list of the configuration in force.
using data_centre_index = strong_id<struct data_centre_index_tag, uint16_t>;

} // namespace gypsumhub

template <typename Tag, typename Rep>
struct std::hash<gypsumhub::strong_id<Tag, Rep>> {
    auto operator()(gypsumhub::strong_id<Tag, Rep> id) const noexcept -> std::size_t { return std::hash<Rep> {}(id.value); }
};
