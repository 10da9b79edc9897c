#include "gypsumhub/platform/configuration_document.h"

#include "gypsumhub/config/route_table_builder.h"
#include "gypsumhub/platform/document_fields.h"

#include <charconv>
#include <limits>

namespace gypsumhub {

namespace {

    namespace json = boost::json;

    constexpr auto max32Bit = uint64_t { std::numeric_limits<uint32_t>::max() };

    auto merge(fault_list& faults, document_fields& fields) -> void
    {
        auto found = fields.takeFaults();
        faults.faults.insert(faults.faults.end(), found.faults.begin(), found.faults.end());
    }

    // The version is written as eight hexadecimal digits.
    auto readVersion(document_fields& fields) -> uint64_t
    {
        auto text = fields.text("version");
        auto version = uint64_t { 0 };
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version, 16);
        if (error != std::errc {} || end != text.data() + text.size())
            fields.report("version", "is not a hexadecimal number");
        return version;
    }

    auto readServices(document_fields& fields) -> std::vector<weighted_service>
    {
        auto* parts = fields.find("split");
        if (!parts)
            return { { fields.text("service"), 1 } };
        if (!parts->is_array()) {
            fields.report("split", "is not a list");
            return {};
        }
        auto services = std::vector<weighted_service> {};
        for (auto& part : parts->as_array()) {
            if (!part.is_object()) {
                fields.report("split", "contains an entry that is not an object");
                continue;
            }
            auto inner = document_fields(part.as_object(), "split");
            services.push_back({ inner.text("service"), static_cast<uint32_t>(inner.number("weight", 0, max32Bit)) });
            if (inner.hasFaults())
                fields.report("split", "contains an entry without a valid service or weight");
        }
        return services;
    }

    auto readRoute(const json::object& object, fault_list& faults) -> route
    {
        auto* name = object.if_contains("name");
        auto label = name && name->is_string() ? std::string(name->as_string()) : std::string("?");
        auto fields = document_fields(object, "route \"" + label + "\"");
        auto read = route {};
        read.name = fields.text("name");
        read.host = fields.text("host");
        read.prefix = fields.text("prefix");
        auto kind = fields.text("kind");
        read.isRetryable = kind == "safe";
        if (kind != "safe" && kind != "unsafe" && kind != "upload")
            fields.report("kind", "is none of \"safe\", \"unsafe\" and \"upload\"");
        read.maxAttempts = static_cast<uint32_t>(fields.number("max_attempts", 1, max32Bit));
        read.timeLimit = fields.length("time_limit");
        read.latencyTarget = fields.length("latency_target");
        read.priority = static_cast<uint32_t>(fields.number("priority", 0, max32Bit));
        read.services = readServices(fields);
        read.isPublic = fields.flag("public");
        merge(faults, fields);
        return read;
    }

    auto readCustomer(const json::object& object, fault_list& faults) -> customer
    {
        auto* name = object.if_contains("name");
        auto label = name && name->is_string() ? std::string(name->as_string()) : std::string("?");
        auto fields = document_fields(object, "tenant \"" + label + "\"");
        auto read = customer {};
        read.name = fields.text("name");
        read.keys = fields.texts("api_keys");
        if (fields.find("priority"))
            read.priority = static_cast<uint32_t>(fields.number("priority", 0, max32Bit));
        read.requestsPerSecond = fields.decimal("rate_per_s");
        read.burst = fields.decimal("burst");
        merge(faults, fields);
        return read;
    }

    auto readLimits(const json::object& object, fault_list& faults) -> caller_limits
    {
        auto fields = document_fields(object, "limits");
        auto limits = caller_limits {};
        limits.headerBytes = static_cast<uint32_t>(fields.number("max_header_bytes", 1, max32Bit));
        limits.bodyBytes = static_cast<uint32_t>(fields.number("max_body_bytes", 1, max32Bit));
        limits.headerReadLimit = fields.length("header_read_limit");
        limits.idleLimit = fields.length("idle_limit");
        merge(faults, fields);
        return limits;
    }

    auto objectsAt(document_fields& fields, std::string_view name) -> std::vector<const json::object*>
    {
        auto objects = std::vector<const json::object*> {};
        auto* list = fields.find(name);
        if (!list || !list->is_array()) {
            fields.report(name, "is not a list");
            return objects;
        }
        for (auto& value : list->as_array()) {
            if (value.is_object())
                objects.push_back(&value.as_object());
            else
                fields.report(name, "contains an entry that is not an object");
        }
        return objects;
    }

} // namespace

auto readConfigurationDocument(std::string_view text) -> leaf::result<std::shared_ptr<const route_table>>
{
    BOOST_LEAF_AUTO(document, parseDocument(text, "the configuration"));
    auto fields = document_fields(document, "configuration");
    auto faults = fault_list {};
    auto builder = route_table_builder {};
    builder.setVersion(readVersion(fields));
    for (auto* service : objectsAt(fields, "services")) {
        auto inner = document_fields(*service, "service");
        builder.addService(inner.text("name"));
        merge(faults, inner);
    }
    for (auto* entry : objectsAt(fields, "routes"))
        builder.addRoute(readRoute(*entry, faults));
    if (fields.find("tenants")) {
        for (auto* entry : objectsAt(fields, "tenants"))
            builder.addCustomer(readCustomer(*entry, faults));
    }
    if (auto* limits = fields.find("limits"); limits && limits->is_object())
        builder.setLimits(readLimits(limits->as_object(), faults));
    merge(faults, fields);
    if (faults.faults.empty())
        return builder.build();
    // All faults are reported at once, so those that only the table as a whole shows are added.
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(builder.build());
            return {};
        },
        [&](const fault_list& further) { faults.faults.insert(faults.faults.end(), further.faults.begin(), further.faults.end()); }, [] {});
    return leaf::new_error(std::move(faults));
}

} // namespace gypsumhub
