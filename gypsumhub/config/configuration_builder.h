#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/config/configuration_entry.h"
#include "gypsumhub/config/section_reader.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gypsumhub {

/// Builds a checked configuration from sections, whole or as changes to an earlier one, with which it then shares whatever did not change.
/// Sections may come in any order. All faults are collected with file and line and carry `ConfigurationInvalid`.
class configuration_builder {
public:
    /// Starts from `previous`, or from nothing.
    explicit configuration_builder(std::shared_ptr<const configuration> previous = nullptr);

    auto addRegister(const ini_document&) -> configuration_builder&;
    auto addRules(const ini_document&) -> configuration_builder&;
    /// Adds the section, or replaces the one with its document, kind and name.
    auto put(config_document, ini_section, std::string_view file) -> configuration_builder&;
    /// Removes the section with this document, kind and name; its absence is no fault.
    auto remove(config_document, std::string_view kind, std::string_view name) -> configuration_builder&;

    /// Checks everything and returns the configuration under `revision`. The builder must not be used again.
    auto build(revision_id revision) -> leaf::result<std::shared_ptr<const configuration>>;

private:
    struct change {
        config_document document { config_document::Register };
        ini_section section;
        std::string file;
        bool isRemoval { false };
    };
    struct section_kind;
    using apply_function = void (configuration_builder::*)(const change&);

    static const std::vector<section_kind> sectionKinds;

    /// Whether the changes can break what only the whole configuration shows.
    auto needsWholeCheck() const -> bool;
    auto applyChanges() -> void;
    auto putDataCentre(const change&) -> void;
    auto putService(const change&) -> void;
    auto putRules(const change&) -> void;
    auto putVm(const change&) -> void;
    auto putNode(const change&) -> void;
    auto putRoute(const change&) -> void;
    auto putCaller(const change&) -> void;
    auto removeDataCentre(const change&) -> void;
    auto removeService(const change&) -> void;
    auto removeRules(const change&) -> void;
    auto removeVm(const change&) -> void;
    auto removeNode(const change&) -> void;
    auto removeRoute(const change&) -> void;
    auto removeCaller(const change&) -> void;

    auto checkName(const change&) -> bool;
    auto requireDataCentre(const change&, section_reader&) -> std::string;
    auto requireService(const change&, section_reader&) -> std::string;
    /// The service's copy that may be changed, or null when there is no such service.
    auto draft(std::string_view service) -> service_spec*;
    auto takeFromOldService(std::string_view vm) -> void;
    auto finishServices() -> void;
    auto report(const change&, std::string message, std::string hint) -> void;

    std::shared_ptr<const configuration> m_previous;
    std::shared_ptr<configuration> m_next;
    std::vector<change> m_changes;
    std::map<std::string, std::shared_ptr<service_spec>, std::less<>> m_drafts;
    /// Service of each VM of `m_previous`; filled when a VM changes.
    std::optional<std::unordered_map<std::string_view, std::string_view>> m_oldServiceOfVm;
    std::vector<const change*> m_serviceRemovals;
    std::vector<route_spec> m_routePuts;
    std::vector<std::string> m_routeRemovals;
    std::vector<caller_spec> m_callerPuts;
    std::vector<std::string> m_callerRemovals;
    fault_list m_faults;
};

} // namespace gypsumhub
