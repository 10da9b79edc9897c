#include "gypsumhub/gateway/store_watcher.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/platform/wire_names.h"

namespace gypsumhub {

store_watcher::store_watcher(gateway_context& context, keyspace& store, target_watcher::listeners listeners)
    : m_access(context, store)
    , m_configuration(m_access, listeners.progress)
    , m_targets(m_access, listeners)
    , m_nodes(m_access)
{
}

auto store_watcher::start() -> void
{
    m_configuration.start();
    m_targets.start();
    m_nodes.start();
}

auto store_watcher::handleHello(const node_hello& hello) -> void
{
    m_configuration.handleHello(hello);
    // The first node has no reader, but hears here of the node that reads in its place while the store turns it away.
    auto now = bootClockNow();
    m_access.recordServed(now - hello.viewAge);
    auto* reader = m_access.context().memberView.reader(now);
    if (!reader || reader->name != hello.name)
        return;
    m_nodes.handleReaderHello(hello);
    m_targets.handleReaderHello(hello);
}

auto store_watcher::listFor(const listing_query& query) const -> std::optional<key_listing>
{
    if (query.prefix == wire_names::configurationKey)
        return m_configuration.list();
    if (query.prefix == node_watcher::prefix)
        return m_nodes.list(query.known);
    if (query.prefix == wire_names::targetPrefix)
        return m_targets.list(query.known);
    return std::nullopt;
}

} // namespace gypsumhub
