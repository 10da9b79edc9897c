#include "gypsumhub/config/configuration_check.h"

#include "gypsumhub/config/section_reader.h"

#include <unordered_map>
#include <utility>

namespace gypsumhub {

namespace {

    struct named_section {
        std::string_view kind;
        std::string_view name;
    };

    auto toText(const named_section& section) -> std::string
    {
        return '[' + std::string(section.kind) + ' ' + std::string(section.name) + ']';
    }

    struct endpoint_hash {
        auto operator()(const endpoint& value) const -> size_t { return mixHashes(hashName(value.address), value.port); }
    };

    class checker {
    public:
        checker(const configuration& config, const origin_finder& findOrigin, fault_list& faults)
            : m_config(config)
            , m_findOrigin(findOrigin)
            , m_faults(faults)
        {
        }

        auto checkAll() -> void
        {
            for (auto& [name, service] : m_config.services)
                checkService(*service);
            for (auto& [name, node] : m_config.nodes)
                checkNode(node);
            for (auto [prefix, route] : m_config.routes) {
                if (!m_config.services.contains(route.service))
                    reportMissing({ "route", prefix }, "service", route.service);
            }
        }

    private:
        auto checkService(const service_spec& service) -> void
        {
            checkKey(m_serviceKeys, service.key.value, { "service", service.name });
            for (auto& target : service.targets) {
                auto self = named_section { "vm", target.name };
                checkKey(m_vmKeys, target.key.value, self);
                checkAddress(target.address, self);
                if (!m_config.dataCentres.contains(target.dataCentre))
                    reportMissing(self, "data centre", target.dataCentre);
            }
        }

        auto checkNode(const node_spec& node) -> void
        {
            auto self = named_section { "node", node.name };
            checkKey(m_nodeKeys, node.key.value, self);
            checkAddress(node.callerAddress, self);
            checkAddress(node.peerAddress, self);
            if (!m_config.dataCentres.contains(node.dataCentre))
                reportMissing(self, "data centre", node.dataCentre);
        }

        auto checkAddress(const endpoint& address, named_section self) -> void
        {
            auto [first, isNew] = m_addresses.emplace(address, self);
            if (!isNew)
                report(self, "address " + formatEndpoint(address) + " is used by " + toText(first->second) + " too", "give each its own address");
        }

        auto checkKey(std::unordered_map<uint64_t, named_section>& keys, uint64_t key, named_section self) -> void
        {
            auto [first, isNew] = keys.emplace(key, self);
            if (!isNew)
                report(self, "the name has the same hash as " + toText(first->second), "choose another name");
        }

        auto reportMissing(named_section self, std::string_view kind, const std::string& name) -> void
        {
            auto message = toText(self) + " needs " + std::string(kind) + " '" + name + "', which is not registered";
            report(self, std::move(message), "register it, or change or remove " + toText(self));
        }

        auto report(named_section self, std::string message, std::string hint) -> void
        {
            auto origin = m_findOrigin(self.kind, self.name);
            m_faults.faults.push_back({ result_code::ConfigurationInvalid, std::move(message), std::move(origin.file), origin.line, std::move(hint) });
        }

        const configuration& m_config;
        const origin_finder& m_findOrigin;
        fault_list& m_faults;
        std::unordered_map<endpoint, named_section, endpoint_hash> m_addresses;
        std::unordered_map<uint64_t, named_section> m_vmKeys;
        std::unordered_map<uint64_t, named_section> m_serviceKeys;
        std::unordered_map<uint64_t, named_section> m_nodeKeys;
    };

} // namespace

auto checkConfiguration(const configuration& config, const origin_finder& findOrigin, fault_list& faults) -> void
{
    checker(config, findOrigin, faults).checkAll();
}

} // namespace gypsumhub
