#include "gypsumhub/decision/blackboard.h"

namespace gypsumhub {

blackboard::blackboard(const decision_settings& initial)
    : settings(initial)
    , random(initial.seed)
{
}

auto blackboard::findService(service_key key) -> service_record*
{
    auto found = m_index.find(key);
    return found != m_index.end() ? &services[found->second] : nullptr;
}

auto blackboard::findService(service_key key) const -> const service_record*
{
    auto found = m_index.find(key);
    return found != m_index.end() ? &services[found->second] : nullptr;
}

auto blackboard::indexServices() -> void
{
    m_index.clear();
    changedServices.clear();
    for (auto position = size_t { 0 }; position < services.size(); ++position) {
        m_index[services[position].spec->key] = position;
        if (services[position].changed)
            changedServices.push_back(position);
    }
}

auto blackboard::changeState(service_record& service, target_record& target, health_state next, std::string reason) -> void
{
    if (target.state == next)
        return;
    outbox.emplace_back(state_change_command { service.spec->key, target.key, target.state, next, reason });
    target.state = next;
    target.reason = std::move(reason);
    // Idle connections to a target that gets no work only occupy its sockets.
    if (!isInRotation(target))
        outbox.emplace_back(close_idle_connections_command { target.key });
    service.unpublished = true;
    unpublished = true;
}

auto blackboard::changeWeight(service_record& service, target_record& target, uint16_t weight) -> void
{
    if (target.weight == weight)
        return;
    target.weight = weight;
    service.unpublished = true;
    unpublished = true;
}

auto blackboard::markChanged(service_record& service) -> void
{
    if (service.changed)
        return;
    service.changed = true;
    changedServices.push_back(static_cast<size_t>(&service - services.data()));
}

} // namespace gypsumhub
