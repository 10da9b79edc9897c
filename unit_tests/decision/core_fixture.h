#pragma once

#include "gypsumhub/core/hash.h"
#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/decision_core.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace gypsumhub {

/// Size and rules of the configuration that a `core_fixture` uses.
struct core_fixture_settings {
    int targets { 8 };
    uint16_t slots { 4 };
    service_rules rules {};
    /// Registered nodes. With 0, the core's own node is not registered and serves every service.
    int nodes { 0 };
    /// Index of the node that the core runs on.
    int self { 0 };
    uint64_t seed { 1 };
    /// Data centres, two per region; targets and nodes are distributed over them round robin.
    int dataCentres { 1 };
};

/// The name of the data centre with this index.
inline auto dataCentreName(int index) -> std::string;

/// Creates a configuration with one service, "s".
inline auto makeFixtureConfiguration(const core_fixture_settings&) -> std::shared_ptr<configuration>;

/// Runs one decision core in virtual time and records its commands.
class core_fixture : public command_listener {
public:
    explicit core_fixture(const core_fixture_settings&);

    auto onCommand(decision_command) -> void override;
    /// Passes one event to the core at the time `now`.
    auto handle(const decision_event&) -> void;
    /// Advances the time in ticks.
    auto advance(duration) -> void;
    /// Reports one exchange that ends now.
    auto attempt(int target, attempt_result, duration latency = milliseconds(20)) -> void;

    auto service() const -> service_key;
    auto target(int index) const -> vm_key;
    auto node(int index) const -> node_key;
    auto record(int index) const -> const target_record&;
    auto stateOf(int index) const -> health_state;
    /// Whether the target is in this state.
    auto isIn(int index, health_state) const -> bool;
    auto snapshot() const -> const routing_snapshot* { return m_snapshot.get(); }
    auto view() const -> const service_view&;
    /// Targets in rotation in the latest snapshot.
    auto inRotation() const -> size_t;

    time_point now { seconds(1000).ns };
    decision_core core;
    std::shared_ptr<configuration> config;
    std::vector<start_health_check_command> healthChecks;
    std::vector<send_evidence_command> sent;
    std::vector<state_change_command> changes;

private:
    core_fixture_settings m_settings;
    std::shared_ptr<const routing_snapshot> m_snapshot;
};

inline auto dataCentreName(int index) -> std::string
{
    return "dc" + std::to_string(index);
}

inline auto makeFixtureConfiguration(const core_fixture_settings& settings) -> std::shared_ptr<configuration>
{
    auto config = std::make_shared<configuration>();
    config->revision.number = 1;
    for (auto index = 0; index < settings.dataCentres; ++index)
        config->dataCentres[dataCentreName(index)] = { dataCentreName(index), "r" + std::to_string(index / 2) };
    auto spec = std::make_shared<service_spec>();
    spec->name = "s";
    spec->key = { hashName("s") };
    spec->rules = settings.rules;
    for (auto index = 0; index < settings.targets; ++index) {
        auto name = "vm" + std::to_string(index);
        auto address = endpoint { "10.0.0." + std::to_string(index + 1), 80 };
        spec->targets.push_back({ name, { hashName(name) }, address, dataCentreName(index % settings.dataCentres), settings.slots });
    }
    std::ranges::sort(spec->targets, {}, &target_spec::name);
    config->services["s"] = spec;
    for (auto index = 0; index < settings.nodes; ++index) {
        auto name = "node" + std::to_string(index);
        auto address = endpoint { "10.1.0." + std::to_string(index + 1), 80 };
        config->nodes[name] = { name, { hashName(name) }, dataCentreName(index % settings.dataCentres), address, address };
    }
    return config;
}

inline core_fixture::core_fixture(const core_fixture_settings& settings)
    : core({ { hashName("node" + std::to_string(settings.self)) }, dataCentreName(settings.self % settings.dataCentres), settings.seed })
    , config(makeFixtureConfiguration(settings))
    , m_settings(settings)
{
    handle(configuration_event { config });
}

inline auto core_fixture::onCommand(decision_command command) -> void
{
    if (auto* publish = std::get_if<publish_snapshot_command>(&command))
        m_snapshot = publish->snapshot;
    if (auto* healthCheck = std::get_if<start_health_check_command>(&command))
        healthChecks.push_back(*healthCheck);
    if (auto* evidence = std::get_if<send_evidence_command>(&command))
        sent.push_back(*evidence);
    if (auto* change = std::get_if<state_change_command>(&command))
        changes.push_back(*change);
}

inline auto core_fixture::handle(const decision_event& event) -> void
{
    core.handle(event, now, *this);
}

inline auto core_fixture::advance(duration length) -> void
{
    auto end = now + length;
    while (now < end) {
        now = std::min(end, now + tickInterval);
        handle(tick_event {});
    }
}

inline auto core_fixture::attempt(int index, attempt_result result, duration latency) -> void
{
    handle(attempt_event { { service(), target(index), result, now - latency, now } });
}

inline auto core_fixture::service() const -> service_key { return { hashName("s") }; }
inline auto core_fixture::target(int index) const -> vm_key { return { hashName("vm" + std::to_string(index)) }; }
inline auto core_fixture::node(int index) const -> node_key { return { hashName("node" + std::to_string(index)) }; }

inline auto core_fixture::record(int index) const -> const target_record&
{
    auto* found = core.board().findService(service())->findTarget(target(index));
    REQUIRE(found);
    return *found;
}

inline auto core_fixture::stateOf(int index) const -> health_state { return record(index).state; }

inline auto core_fixture::isIn(int index, health_state state) const -> bool { return stateOf(index) == state; }

inline auto core_fixture::view() const -> const service_view& { return *m_snapshot->findService(service()); }

inline auto core_fixture::inRotation() const -> size_t { return view().targets.size(); }

} // namespace gypsumhub
