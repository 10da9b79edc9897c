#include "gypsumhub/proxy/session_registry.h"

#include "gypsumhub/proxy/caller_session.h"

namespace gypsumhub {

auto session_registry::add(caller_session& session) -> position
{
    return m_waiting.insert(m_waiting.end(), &session);
}

auto session_registry::remove(position at, bool waiting) -> void
{
    (waiting ? m_waiting : m_busy).erase(at);
}

auto session_registry::moveToWaiting(position at, bool wasWaiting) -> void
{
    m_waiting.splice(m_waiting.end(), wasWaiting ? m_waiting : m_busy, at);
}

auto session_registry::moveToBusy(position at) -> void
{
    m_busy.splice(m_busy.end(), m_waiting, at);
}

auto session_registry::evictOldest() -> bool
{
    for (auto* session : m_waiting)
        if (session->close())
            return true;
    return false;
}

auto session_registry::closeAll() -> void
{
    for (auto* list : { &m_waiting, &m_busy })
        for (auto* session : *list)
            session->cancel();
}

auto session_registry::closeIdle() -> void
{
    for (auto* session : m_waiting)
        session->closeIfIdle();
}

} // namespace gypsumhub
