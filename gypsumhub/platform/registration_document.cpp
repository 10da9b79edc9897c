#include "gypsumhub/platform/registration_document.h"

#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/platform/document_fields.h"
#include "gypsumhub/platform/wire_names.h"

#include <boost/json/serialize.hpp>
#include <limits>

namespace gypsumhub {

namespace {

    namespace json = boost::json;

    constexpr auto maxSlots = uint64_t { 100'000 };

    auto objectAt(document_fields& fields, std::string_view name) -> const json::object*
    {
        auto* value = fields.find(name);
        if (value && value->is_object())
            return &value->as_object();
        fields.report(name, "is not an object");
        return nullptr;
    }

} // namespace

auto targetIdOf(std::string_view key) -> std::string
{
    return std::string(key.substr(std::min(key.size(), wire_names::targetPrefix.size())));
}

auto writeRegistrationDocument(const target_registration& target, time_point now) -> store_entry
{
    auto warmUp = std::max<int64_t>((target.warmedUpAt - now).milliseconds(), 0);
    auto document = json::object { { "address", formatEndpoint(target.address) },
        { "info", json::object { { "service", target.service }, { "data_centre", target.dataCentre }, { "slots", target.slots } } },
        { "status", json::object { { "state", target.isDraining ? "draining" : "ready" }, { "warm_up_left", std::to_string(warmUp) + "ms" } } } };
    if (target.incarnation != 0)
        document["born"] = target.incarnation;
    return { std::string(wire_names::targetPrefix) + target.id, json::serialize(document), target.revision };
}

auto readRegistrationDocument(const store_entry& entry, time_point now) -> leaf::result<target_registration>
{
    BOOST_LEAF_AUTO(document, parseDocument(entry.value, entry.key));
    auto fields = document_fields(document, entry.key);
    auto read = target_registration {};
    read.id = targetIdOf(entry.key);
    read.revision = entry.modRevision;
    if (auto address = parseEndpoint(fields.text("address")))
        read.address = *address;
    else
        fields.report("address", "is not an IP address with a port");
    if (fields.find("born"))
        read.incarnation = fields.number("born", 0, std::numeric_limits<int64_t>::max());
    // `info` holds the identity of the target, `status` what changes over its lifetime.
    auto *identity = objectAt(fields, "info"), *condition = objectAt(fields, "status");
    if (!identity || !condition)
        return leaf::new_error(fields.takeFaults());
    auto identityFields = document_fields(*identity, entry.key + " info");
    read.service = identityFields.text("service");
    read.dataCentre = identityFields.text("data_centre");
    read.slots = static_cast<uint32_t>(identityFields.number("slots", 1, maxSlots));
    auto conditionFields = document_fields(*condition, entry.key + " status");
    auto state = conditionFields.text("state");
    read.isDraining = state == "draining";
    if (state != "ready" && state != "draining")
        conditionFields.report("state", "is neither \"ready\" nor \"draining\"");
    read.warmedUpAt = now + conditionFields.length("warm_up_left");
    for (auto* part : { &fields, &identityFields, &conditionFields }) {
        if (part->hasFaults())
            return leaf::new_error(part->takeFaults());
    }
    return read;
}

} // namespace gypsumhub
