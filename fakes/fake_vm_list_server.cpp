#include "fakes/fake_vm_list_server.h"

#include "gypsumhub/core/clock.h"

#include <boost/json.hpp>

namespace gypsumhub {

namespace {

    auto toArray(const std::vector<std::string>& names) -> boost::json::array
    {
        auto array = boost::json::array {};
        for (auto& name : names)
            array.emplace_back(boost::json::string_view(name));
        return array;
    }

} // namespace

fake_vm_list_server::fake_vm_list_server(boost::asio::io_context& context, const std::string& address, uint16_t port)
    : m_list(m_now)
    , m_server(context, address, port, [this](auto, auto& target, auto&) { return handle(target); })
{
}

auto fake_vm_list_server::handle(const fake_http_target& target) -> fake_http_answer
{
    m_now = wallClockNow();
    if (target.path == "/control/vm")
        return changeVm(target);
    if (target.path == "/control/lag") {
        m_list.setLag(milliseconds(target.number("ms", 0)));
        return { 200, "{}" };
    }
    if (target.path == "/control/outage") {
        m_list.outageUntil = m_now + seconds(target.number("seconds", 0));
        return { 200, "{}" };
    }
    if (target.path != "/v1/vms")
        return { 404, R"({"error":"not found"})" };
    if (m_now < m_list.outageUntil)
        return { 0, {}, m_list.outageUntil - m_now, true };
    auto content = m_list.visibleAt(m_now);
    auto body = boost::json::value { { "live", toArray(content.live) }, { "leaving", toArray(content.leaving) } };
    return { 200, boost::json::serialize(body) };
}

auto fake_vm_list_server::changeVm(const fake_http_target& target) -> fake_http_answer
{
    auto state = target.text("state");
    if (state == "live")
        m_list.change(target.text("name"), listed_vm_state::Live);
    else if (state == "leaving")
        m_list.change(target.text("name"), listed_vm_state::Leaving);
    else if (state == "gone")
        m_list.change(target.text("name"), listed_vm_state::Gone);
    else
        return { 400, R"({"error":"state must be live, leaving or gone"})" };
    return { 200, "{}" };
}

} // namespace gypsumhub
