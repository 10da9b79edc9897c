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

auto blackboard::markChanged(service_record& service) -> void
{
    if (service.changed)
        return;
    service.changed = true;
    changedServices.push_back(static_cast<size_t>(&service - services.data()));
}

} // namespace gypsumhub
