#include "gypsumhub/decision/controllers/snapshot_controller.h"

namespace gypsumhub {

snapshot_controller::snapshot_controller(blackboard& board)
    : m_board(board)
{
}

auto snapshot_controller::publish(command_listener& listener) -> void
{
    if (!m_board.unpublished)
        return;
    auto next = std::make_shared<routing_snapshot>();
    next->version = ++m_board.snapshotVersion;
    next->config = m_board.config;
    next->services.reserve(m_board.services.size());
    for (auto& service : m_board.services) {
        // Views of unchanged services are copied from the last snapshot.
        auto* previous = m_published && !service.unpublished ? m_published->findService(service.spec->key) : nullptr;
        next->services.push_back(previous ? *previous : makeView(service));
        service.unpublished = false;
    }
    m_board.unpublished = false;
    m_published = next;
    listener.onCommand(publish_snapshot_command { std::move(next) });
}

auto snapshot_controller::makeView(service_record& service) const -> service_view
{
    auto view = service_view {};
    view.spec = service.spec;
    view.group = service.group;
    view.servedHere = service.servedHere;
    view.overdueAfter = service.overdueAfter;
    // Services that other nodes serve are forwarded to a member of their group, so the view needs only the group.
    if (!service.servedHere)
        return view;
    view.targets.reserve(service.targets.size());
    for (auto& target : service.targets) {
        if (isInRotation(target))
            view.targets.push_back({ target.key, target.address, target.state, target.distance, target.slotShare, target.weight, target.load });
    }
    return view;
}

} // namespace gypsumhub
