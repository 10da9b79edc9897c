#include "gypsumhub/config/configuration_builder.h"

#include "gypsumhub/config/configuration_check.h"
#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/config/service_rules_reader.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto maxNameBytes = size_t { 200 };
    constexpr auto slotRange = number_range { 1, 1024 };
    constexpr auto requestRateRange = number_range { 1, 1'000'000 };

    auto isNameCharacter(char c) -> bool
    {
        return c > ' ' && c < 127 && c != '[' && c != ']' && c != ';' && c != '#' && c != '?';
    }

} // namespace

/// One kind of section and how it is applied. Removals run in reverse order of the table, then puts in its order.
struct configuration_builder::section_kind {
    config_document document;
    std::string_view kind;
    apply_function put;
    apply_function remove;
};

const std::vector<configuration_builder::section_kind> configuration_builder::sectionKinds {
    { config_document::Register, "data_centre", &configuration_builder::putDataCentre, &configuration_builder::removeDataCentre },
    { config_document::Register, "service", &configuration_builder::putService, &configuration_builder::removeService },
    { config_document::Rules, "service", &configuration_builder::putRules, &configuration_builder::removeRules },
    { config_document::Register, "vm", &configuration_builder::putVm, &configuration_builder::removeVm },
    { config_document::Register, "node", &configuration_builder::putNode, &configuration_builder::removeNode },
    { config_document::Register, "route", &configuration_builder::putRoute, &configuration_builder::removeRoute },
    { config_document::Register, "caller", &configuration_builder::putCaller, &configuration_builder::removeCaller },
};

configuration_builder::configuration_builder(std::shared_ptr<const configuration> previous)
    : m_previous(previous ? std::move(previous) : std::make_shared<const configuration>())
    , m_next(std::make_shared<configuration>(*m_previous))
{
}

auto configuration_builder::addRegister(const ini_document& document) -> configuration_builder&
{
    for (auto& section : document.sections)
        put(config_document::Register, section, document.file);
    return *this;
}

auto configuration_builder::addRules(const ini_document& document) -> configuration_builder&
{
    for (auto& section : document.sections)
        put(config_document::Rules, section, document.file);
    return *this;
}

auto configuration_builder::put(config_document document, ini_section section, std::string_view file) -> configuration_builder&
{
    m_changes.push_back({ document, std::move(section), std::string(file), false });
    return *this;
}

auto configuration_builder::remove(config_document document, std::string_view kind, std::string_view name) -> configuration_builder&
{
    m_changes.push_back({ document, { std::string(kind), std::string(name) }, {}, true });
    return *this;
}

auto configuration_builder::build(revision_id revision) -> leaf::result<std::shared_ptr<const configuration>>
{
    assert(m_next);
    applyChanges();
    finishServices();
    m_next->routes = m_next->routes.with(std::move(m_routePuts), m_routeRemovals);
    m_next->callers = m_next->callers.with(std::move(m_callerPuts), m_callerRemovals);
    m_next->revision = revision;

    auto findOrigin = [this](std::string_view kind, std::string_view name) -> section_origin {
        for (auto& entry : m_changes) {
            if (entry.document == config_document::Register && entry.section.kind == kind && entry.section.name == name)
                return { entry.file, entry.section.line };
        }
        return {};
    };
    // Faults of single sections come first: a section that was left out would be reported as missing too.
    if (m_faults.faults.empty() && needsWholeCheck())
        checkConfiguration(*m_next, findOrigin, m_faults);
    if (m_faults.faults.empty())
        return std::shared_ptr<const configuration>(std::move(m_next));
    std::ranges::stable_sort(m_faults.faults, [](auto& a, auto& b) { return std::tie(a.file, a.line) < std::tie(b.file, b.line); });
    return leaf::new_error(std::move(m_faults));
}

auto configuration_builder::needsWholeCheck() const -> bool
{
    // Callers, rules and new routes refer to nothing that their own check has not seen, and nothing refers to them.
    auto isLeaf = [](auto& entry) {
        auto& kind = entry.section.kind;
        return entry.document == config_document::Rules || kind == "caller" || kind == "route";
    };
    return !std::ranges::all_of(m_changes, isLeaf);
}

auto configuration_builder::applyChanges() -> void
{
    // Group by kind first, since the files may name things before they are declared.
    auto changesOfKind = std::vector<std::vector<const change*>>(sectionKinds.size());
    for (auto& entry : m_changes) {
        auto matches = [&](auto& row) { return row.document == entry.document && row.kind == entry.section.kind; };
        auto row = std::ranges::find_if(sectionKinds, matches);
        if (row != sectionKinds.end())
            changesOfKind[static_cast<size_t>(row - sectionKinds.begin())].push_back(&entry);
        else if (entry.document == config_document::Rules)
            report(entry, "section [" + entry.section.kind + "] is unknown in the rules", "known sections: [service NAME]");
        else
            report(entry, "section [" + entry.section.kind + "] is unknown in the register", "known sections: [data_centre NAME] [service NAME] [vm NAME] [node NAME] [route /PREFIX] [caller NAME]");
    }
    for (auto kind = sectionKinds.size(); kind-- > 0;) {
        for (auto* entry : changesOfKind[kind]) {
            if (entry->isRemoval)
                (this->*sectionKinds[kind].remove)(*entry);
        }
    }
    for (auto kind = size_t { 0 }; kind < sectionKinds.size(); ++kind) {
        for (auto* entry : changesOfKind[kind]) {
            if (!entry->isRemoval && checkName(*entry))
                (this->*sectionKinds[kind].put)(*entry);
        }
    }
}

auto configuration_builder::putDataCentre(const change& entry) -> void
{
    auto reader = section_reader(entry.section, entry.file, result_code::ConfigurationInvalid, m_faults);
    auto region = reader.requiredText("region", "write region = NAME");
    reader.finish();
    m_next->dataCentres[entry.section.name] = { entry.section.name, std::move(region) };
}

auto configuration_builder::putService(const change& entry) -> void
{
    auto reader = section_reader(entry.section, entry.file, result_code::ConfigurationInvalid, m_faults);
    reader.finish();
    if (draft(entry.section.name))
        return;
    auto created = std::make_shared<service_spec>();
    created->name = entry.section.name;
    created->key = { hashName(created->name) };
    m_drafts[created->name] = std::move(created);
}

auto configuration_builder::putRules(const change& entry) -> void
{
    auto reader = section_reader(entry.section, entry.file, result_code::ConfigurationInvalid, m_faults);
    auto rules = readServiceRules(reader);
    reader.finish();
    auto* service = draft(entry.section.name);
    if (!service)
        return report(entry, "service '" + entry.section.name + "' is not registered", "register the service, or remove its rules");
    service->rules = std::move(rules);
}

auto configuration_builder::putVm(const change& entry) -> void
{
    auto reader = section_reader(entry.section, entry.file, result_code::ConfigurationInvalid, m_faults);
    auto target = target_spec {};
    target.name = entry.section.name;
    target.key = { hashName(target.name) };
    auto serviceName = requireService(entry, reader);
    target.dataCentre = requireDataCentre(entry, reader);
    target.address = reader.requiredAddress("address");
    target.slots = static_cast<uint16_t>(reader.number("slots", slotRange, target.slots));
    reader.finish();
    takeFromOldService(target.name);
    if (auto* service = draft(serviceName))
        service->targets.push_back(std::move(target));
}

auto configuration_builder::putNode(const change& entry) -> void
{
    auto reader = section_reader(entry.section, entry.file, result_code::ConfigurationInvalid, m_faults);
    auto node = node_spec {};
    node.name = entry.section.name;
    node.key = { hashName(node.name) };
    node.dataCentre = requireDataCentre(entry, reader);
    node.callerAddress = reader.requiredAddress("address");
    node.peerAddress = reader.requiredAddress("peer_address");
    reader.finish();
    m_next->nodes[entry.section.name] = std::move(node);
}

auto configuration_builder::putRoute(const change& entry) -> void
{
    auto reader = section_reader(entry.section, entry.file, result_code::ConfigurationInvalid, m_faults);
    auto service = requireService(entry, reader);
    reader.finish();
    if (!entry.section.name.starts_with('/'))
        report(entry, "route '" + entry.section.name + "' does not begin with /", "write [route /PREFIX]");
    m_routePuts.push_back({ entry.section.name, std::move(service) });
}

auto configuration_builder::putCaller(const change& entry) -> void
{
    auto reader = section_reader(entry.section, entry.file, result_code::ConfigurationInvalid, m_faults);
    if (!reader.text("requests_per_second"))
        reader.report("requests_per_second", "key 'requests_per_second' is missing", "write requests_per_second = NUMBER");
    auto rate = reader.number("requests_per_second", requestRateRange, 0);
    reader.finish();
    m_callerPuts.push_back({ entry.section.name, rate });
}

auto configuration_builder::removeDataCentre(const change& entry) -> void
{
    m_next->dataCentres.erase(entry.section.name);
}

auto configuration_builder::removeService(const change& entry) -> void
{
    // Its VMs may move elsewhere in the same change, so the removal waits for them.
    if (draft(entry.section.name))
        m_serviceRemovals.push_back(&entry);
}

auto configuration_builder::removeRules(const change& entry) -> void
{
    if (auto* service = draft(entry.section.name))
        service->rules = {};
}

auto configuration_builder::removeVm(const change& entry) -> void
{
    takeFromOldService(entry.section.name);
}

auto configuration_builder::removeNode(const change& entry) -> void
{
    m_next->nodes.erase(entry.section.name);
}

auto configuration_builder::removeRoute(const change& entry) -> void
{
    m_routeRemovals.push_back(entry.section.name);
}

auto configuration_builder::removeCaller(const change& entry) -> void
{
    m_callerRemovals.push_back(entry.section.name);
}

auto configuration_builder::checkName(const change& entry) -> bool
{
    auto& name = entry.section.name;
    if (!name.empty() && name.size() <= maxNameBytes && std::ranges::all_of(name, isNameCharacter))
        return true;
    report(entry, "'" + name + "' cannot be the name of a " + entry.section.kind, "write [" + entry.section.kind + " NAME] with 1 to " + std::to_string(maxNameBytes) + " visible ASCII characters");
    return false;
}

auto configuration_builder::requireDataCentre(const change& entry, section_reader& reader) -> std::string
{
    auto name = reader.requiredText("data_centre", "write data_centre = NAME");
    if (!name.empty() && !m_next->dataCentres.contains(name))
        reader.report("data_centre", "data centre '" + name + "' of " + entry.section.name + " is not registered", "add [data_centre " + name + "] or name a registered one");
    return name;
}

auto configuration_builder::requireService(const change& entry, section_reader& reader) -> std::string
{
    auto name = reader.requiredText("service", "write service = NAME");
    auto isKnown = m_drafts.contains(name) || m_next->services.contains(name);
    if (!name.empty() && !isKnown)
        reader.report("service", "service '" + name + "' of " + entry.section.name + " is not registered", "add [service " + name + "] or name a registered one");
    return name;
}

auto configuration_builder::draft(std::string_view name) -> service_spec*
{
    auto found = m_drafts.find(name);
    if (found != m_drafts.end())
        return found->second.get();
    auto current = m_next->services.find(name);
    if (current == m_next->services.end())
        return nullptr;
    auto copy = std::make_shared<service_spec>(*current->second);
    return m_drafts.emplace(copy->name, std::move(copy)).first->second.get();
}

auto configuration_builder::takeFromOldService(std::string_view vm) -> void
{
    if (!m_oldServiceOfVm) {
        m_oldServiceOfVm.emplace();
        for (auto& [name, service] : m_previous->services) {
            for (auto& target : service->targets)
                m_oldServiceOfVm->emplace(target.name, name);
        }
    }
    auto old = m_oldServiceOfVm->find(vm);
    if (old == m_oldServiceOfVm->end())
        return;
    if (auto* service = draft(old->second))
        std::erase_if(service->targets, [&](auto& target) { return target.name == vm; });
}

auto configuration_builder::finishServices() -> void
{
    for (auto* entry : m_serviceRemovals) {
        auto* service = draft(entry->section.name);
        if (!service->targets.empty()) {
            auto message = "service '" + service->name + "' still has VM " + service->targets.front().name;
            report(*entry, std::move(message), "remove or move its VMs too");
        }
        m_next->services.erase(entry->section.name);
        m_drafts.erase(entry->section.name);
    }
    for (auto& [name, service] : m_drafts) {
        std::ranges::sort(service->targets, {}, &target_spec::name);
        auto& current = m_next->services[name];
        // An unchanged service stays shared with the previous configuration.
        if (!current || *current != *service)
            current = std::move(service);
    }
}

auto configuration_builder::report(const change& entry, std::string message, std::string hint) -> void
{
    m_faults.faults.push_back({ result_code::ConfigurationInvalid, std::move(message), entry.file, entry.section.line, std::move(hint) });
}

} // namespace gypsumhub
