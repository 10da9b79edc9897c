#include "gypsumhub/decision/controllers/inventory_controller.h"

#include "gypsumhub/decision/distance.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    /// How long a VM that becomes live is granted its cold start.
    constexpr auto coldStartGrace = seconds(15);

} // namespace

inventory_controller::inventory_controller(blackboard& board)
    : m_board(board)
{
}

auto inventory_controller::onConfiguration(const configuration_event& event) -> void
{
    m_board.config = event.next;

    // Rebuild the list of services in order of key, moving over the records of those that stay.
    auto next = std::vector<service_record> {};
    next.reserve(event.next->services.size());
    for (auto& [name, spec] : event.next->services) {
        auto* known = m_board.findService(spec->key);
        auto& service = known ? next.emplace_back(std::move(*known)) : next.emplace_back();
        updateService(service, spec);
    }
    std::ranges::sort(next, {}, [](const service_record& service) { return service.spec->key; });
    m_board.services = std::move(next);
    m_board.indexServices();
    m_board.unpublished = true;
}

auto inventory_controller::updateService(service_record& service, const std::shared_ptr<const service_spec>& spec) -> void
{
    service.changed = true;
    service.unpublished = true;
    service.slotsStale = true;
    if (service.spec == spec)
        return;
    auto previous = std::move(service.targets);
    auto firstSight = !service.spec;
    service.spec = spec;
    service.targets.clear();
    service.targets.reserve(spec->targets.size());
    for (auto& target : spec->targets) {
        auto known = std::ranges::find(previous, target.key, &target_record::key);
        auto& record = known != previous.end() ? service.targets.emplace_back(std::move(*known)) : service.targets.emplace_back();
        // A target that joins a known service has just been made; those of a new service may have run for long.
        if (known == previous.end() && !firstSight)
            record.graceUntil = m_board.now + coldStartGrace;
        updateTarget(record, target);
    }
    std::ranges::sort(service.targets, {}, &target_record::key);
}

auto inventory_controller::updateTarget(target_record& record, const target_spec& target) -> void
{
    record.key = target.key;
    record.name = target.name;
    record.dataCentre = target.dataCentre;
    record.slots = target.slots;
    record.distance = distanceBetween(*m_board.config, m_board.settings.dataCentre, target.dataCentre);
    // Another address is another VM: what was seen of the old one says nothing about it.
    if (record.address != target.address) {
        record.scores = {};
        record.peerEvidence.clear();
    }
    record.address = target.address;
    record.listed = statusOf(target.key);
    if (!record.load)
        record.load = std::make_shared<target_load>();
}

auto inventory_controller::onVmList(const vm_list_event& event) -> void
{
    m_board.listedLive = { event.live.begin(), event.live.end() };
    m_board.listedLeaving = { event.leaving.begin(), event.leaving.end() };
    auto firstList = !m_board.listKnown;
    m_board.listKnown = true;
    for (auto& service : m_board.services) {
        updateListing(service);
        if (!firstList)
            continue;
        // VMs on the first list may have been live for long.
        for (auto& target : service.targets)
            target.graceUntil = time_point {};
    }
}

auto inventory_controller::updateListing(service_record& service) -> void
{
    for (auto& target : service.targets) {
        auto status = statusOf(target.key);
        if (status == target.listed)
            continue;
        // A VM that comes back after it was gone is a new one that starts cold.
        if (target.listed == list_status::Gone) {
            target.graceUntil = m_board.now + coldStartGrace;
            target.drainingUntil = time_point {};
            target.scores = {};
            target.peerEvidence.clear();
        }
        target.listed = status;
        service.slotsStale = true;
        m_board.markChanged(service);
    }
}

auto inventory_controller::statusOf(vm_key key) const -> list_status
{
    if (m_board.listedLeaving.contains(key))
        return list_status::Leaving;
    // Before the first list, the register is all there is to go by.
    if (!m_board.listKnown || m_board.listedLive.contains(key))
        return list_status::Live;
    return list_status::Gone;
}

} // namespace gypsumhub
