#include "gypsumhub/gateway/caller_registry.h"

#include "gypsumhub/gateway/caller_connection.h"

namespace gypsumhub {

auto caller_registry::add(caller_connection& added) -> void
{
    m_connections.insert(&added);
}

auto caller_registry::remove(caller_connection& removed) -> void
{
    m_connections.erase(&removed);
}

auto caller_registry::endAll() -> size_t
{
    auto undelivered = size_t { 0 };
    for (auto* connection : m_connections)
        undelivered += connection->end() ? 0 : 1;
    return undelivered;
}

} // namespace gypsumhub
