#include "gypsumhub/main/claim_driver.h"

#include "gypsumhub/core/clock.h"

#include <utility>

namespace gypsumhub {

claim_driver::claim_driver(control_thread& control, claim_coordinator::settings settings, peer_sender& sender)
    : m_control(control)
    , m_sender(sender)
    , m_coordinator(std::move(settings), wallClockNow())
{
}

auto claim_driver::claim(claim_query query, std::function<void(claim_verdict)> done) -> void
{
    m_control.post([this, query = std::move(query), done = std::move(done)]() mutable {
        auto commands = claim_command_list {};
        auto requestId = m_coordinator.claim(query, wallClockNow(), commands);
        // Must be registered before the commands are executed, since they may already contain the verdict.
        m_pending.emplace(requestId, std::move(done));
        execute(std::move(commands));
    });
}

auto claim_driver::finish(const claim_query& query, claim_end end, std::shared_ptr<const kept_answer> answer) -> void
{
    m_control.post([this, query, end, answer = std::move(answer)] {
        auto commands = claim_command_list {};
        m_coordinator.finish(query, end, answer.get(), wallClockNow(), commands);
        execute(std::move(commands));
    });
}

auto claim_driver::configure(const configuration& config) -> void
{
    auto commands = claim_command_list {};
    m_coordinator.configure(claim_voters(config), wallClockNow(), commands);
    execute(std::move(commands));
}

auto claim_driver::onMessage(node_key sender, const claim_peer_message& message) -> void
{
    auto commands = claim_command_list {};
    m_coordinator.onMessage(sender, message, wallClockNow(), commands);
    execute(std::move(commands));
}

auto claim_driver::tick() -> void
{
    auto commands = claim_command_list {};
    m_coordinator.tick(wallClockNow(), commands);
    execute(std::move(commands));
}

auto claim_driver::sendAllRecords() -> void
{
    auto commands = claim_command_list {};
    m_coordinator.sendAllRecords(commands);
    execute(std::move(commands));
}

auto claim_driver::coordinator() const -> const claim_coordinator&
{
    return m_coordinator;
}

auto claim_driver::execute(claim_command_list commands) -> void
{
    for (auto& command : commands)
        std::visit([this](auto& concrete) { execute(concrete); }, command);
}

auto claim_driver::execute(send_claim_command& command) -> void
{
    auto send = [&](auto& message) { m_sender.send(command.receiver, std::move(message)); };
    std::visit(send, command.message);
}

auto claim_driver::execute(claim_decided_command& command) -> void
{
    auto pending = m_pending.extract(command.requestId);
    if (!pending.empty())
        pending.mapped()(std::move(command.verdict));
}

} // namespace gypsumhub
