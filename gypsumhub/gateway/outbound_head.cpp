#include "gypsumhub/gateway/outbound_head.h"

#include "gypsumhub/gateway/relay_fields.h"
#include "gypsumhub/platform/wire_names.h"
#include "gypsumhub/proxy/message_fields.h"

namespace gypsumhub {

outbound_head::outbound_head(const inbound_message& request)
    : m_request(request)
{
}

auto outbound_head::setTarget(std::string_view id) -> outbound_head&
{
    m_target = id;
    return *this;
}

auto outbound_head::setRelay(std::string_view fields) -> outbound_head&
{
    m_relay = fields;
    return *this;
}

auto outbound_head::setCustomer(const caller_identity& caller) -> outbound_head&
{
    m_hasCustomers = caller.hasCustomers;
    m_customer = caller.customerName;
    return *this;
}

auto outbound_head::setTimeLeft(duration left) -> outbound_head&
{
    m_timeLeft = left;
    return *this;
}

auto outbound_head::build() const -> std::string
{
    auto fields = http::fields(m_request.base());
    auto carriesBody = !m_request.body().empty() || m_request.has_content_length() || m_request.chunked();
    removeHopByHopFields(fields);
    fields.erase(wire_names::timeLeft);
    fields.erase(wire_names::expectedTarget);
    fields.erase(relay_fields::name);
    fields.erase(relay_fields::customer);
    if (m_hasCustomers) {
        fields.erase(http::field::authorization);
        fields.erase(wire_names::customerName);
    }
    auto text = std::string(m_request.method_string()) + " " + std::string(m_request.target()) + " HTTP/1.1\r\n";
    auto append = [&](std::string_view name, std::string_view value) { text.append(name).append(": ").append(value).append("\r\n"); };
    for (auto& field : fields)
        append(field.name_string(), field.value());
    append(wire_names::timeLeft, std::to_string(m_timeLeft.milliseconds()));
    if (!m_target.empty())
        append(wire_names::expectedTarget, m_target);
    if (!m_relay.empty())
        append(relay_fields::name, m_relay);
    if (!m_customer.empty())
        append(m_relay.empty() ? wire_names::customerName : relay_fields::customer, m_customer);
    if (carriesBody)
        append("Content-Length", std::to_string(m_request.body().size()));
    return text + "\r\n";
}

} // namespace gypsumhub
