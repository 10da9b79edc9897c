#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/gateway/gateway_context.h"

#include <functional>
#include <optional>
#include <string_view>

namespace gypsumhub {

/// One step that takes or opens an address at the start of a node.
struct address_step {
    /// The key of the settings file that states the address.
    std::string_view setting;
    endpoint address;
    std::function<error_code()> open;
};

/// Opens the addresses of a node at its start. An address may still be held by the process before, which is ending, or by an outgoing
/// connection and the time that TCP keeps it afterwards.
class address_opener {
public:
    explicit address_opener(gateway_context&);

    /// Repeats the step while its address is in use. Returns nullopt when it succeeded or the node is stopping, and the fault
    /// `AddressInUse` when it failed otherwise or the address was held for too long.
    auto run(address_step) -> task<std::optional<fault>>;

private:
    gateway_context& m_context;
    time_point m_waitsUntil;
};

} // namespace gypsumhub
