#include "fakes/fake_vm_list.h"

namespace gypsumhub {

fake_vm_list::fake_vm_list(const time_point& clock)
    : m_now(clock)
{
}

auto fake_vm_list::fetch(time_point) -> leaf::result<vm_list_content>
{
    ++m_fetches;
    if (m_now < outageUntil)
        return failWith({ result_code::StoreUnavailable, "the list of VMs cannot be reached" });
    return visibleAt(m_now);
}

auto fake_vm_list::visibleAt(time_point now) const -> vm_list_content
{
    auto states = std::map<std::string, listed_vm_state> {};
    for (auto& entry : m_changes) {
        if (entry.visibleFrom <= now)
            states[entry.name] = entry.state;
    }
    auto content = vm_list_content {};
    for (auto& [name, state] : states) {
        if (state == listed_vm_state::Live)
            content.live.push_back(name);
        else if (state == listed_vm_state::Leaving)
            content.leaving.push_back(name);
    }
    return content;
}

auto fake_vm_list::change(const std::string& name, listed_vm_state state) -> void
{
    m_changes.push_back({ m_now + m_lag, name, state });
}

} // namespace gypsumhub
