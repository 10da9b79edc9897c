#include "gypsumhub/store/http_vm_list.h"

#include <boost/json.hpp>
#include <utility>

namespace gypsumhub {

namespace {

    auto readNames(const boost::json::object& parent, std::string_view name, std::vector<std::string>& names) -> bool
    {
        auto* value = parent.if_contains(name);
        auto* list = value ? value->if_array() : nullptr;
        if (!list)
            return false;
        for (auto& item : *list) {
            auto* text = item.if_string();
            if (!text)
                return false;
            names.emplace_back(text->data(), text->size());
        }
        return true;
    }

} // namespace

auto parseVmList(std::string_view body) -> leaf::result<vm_list_content>
{
    auto error = boost::json::error_code {};
    auto value = boost::json::parse(boost::json::string_view(body.data(), body.size()), error);
    auto content = vm_list_content {};
    auto* object = error ? nullptr : value.if_object();
    if (object && readNames(*object, "live", content.live) && readNames(*object, "leaving", content.leaving))
        return content;
    return failWith({ result_code::StoreProtocolError, "the answer with the list of VMs is malformed" });
}

http_vm_list::http_vm_list(endpoint address)
    : m_connection(std::move(address))
{
}

auto http_vm_list::fetch(time_point deadline) -> leaf::result<vm_list_content>
{
    auto request = http_request { boost::beast::http::verb::get, "/v1/vms" };
    auto reply = m_connection.exchange(request, deadline);
    if (reply.progress == http_progress::TimedOut)
        return failWith({ result_code::StoreTimeout, "the server of the list of VMs did not answer before the deadline" });
    if (reply.progress != http_progress::Answered)
        return failWith({ result_code::StoreUnavailable, "the server of the list of VMs cannot be reached" });
    if (reply.status != 200)
        return failWith({ result_code::StoreProtocolError, "the server of the list of VMs answered with status " + std::to_string(reply.status) });
    return parseVmList(reply.body);
}

} // namespace gypsumhub
