#include "gypsumhub/gateway/crash_watcher.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/gateway/failure_guard.h"
#include "gypsumhub/gateway/request_identity.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

namespace {

    // A refusal arrives within a round trip.
    constexpr auto checkTimeout = milliseconds(450);
    // Each message is sent once more after each interval.
    constexpr auto repeatInterval = milliseconds(400);
    constexpr auto repeatCount = 2U;
    // Shorter than the interval of a repeated report, which is answered again since the answer to the first may be lost.
    constexpr auto exonerationInterval = milliseconds(300);
    constexpr auto maxRememberedExonerations = size_t { 1024 };
    constexpr auto quarantinesInterval = milliseconds(1000);
    // Bounds what a node sends when very many targets crash at once.
    constexpr auto maxRepeated = size_t { 32 };

} // namespace

crash_watcher::crash_watcher(gateway_context& context, sender send)
    : m_context(context)
    , m_send(std::move(send))
{
}

auto crash_watcher::checkTarget(std::shared_ptr<target_state> target, const request_identity& lost) -> void
{
    auto& id = target->registration.id;
    auto [found, isNew] = m_checks.try_emplace(id, pending_check { target, bootClockNow(), {} });
    found->second.inFlight.insert(found->second.inFlight.end(), { lost.ofCaller, lost.ofAnyCaller });
    if (isNew)
        spawnGuarded(m_context, "crash_check", runCheck(id));
}

auto crash_watcher::connectTo(endpoint address) -> task<error_code>
{
    auto parseError = error_code {};
    auto number = asio::ip::make_address(address.address, parseError);
    if (parseError)
        co_return parseError;
    auto socket = tcp_socket(m_context.io.get_executor());
    auto timer = deadline_timer(m_context.io.get_executor());
    timer.arm(bootClockNow() + checkTimeout, [&socket] { closeNow(socket); });
    auto [error] = co_await socket.async_connect({ number, address.port }, useTask);
    co_return error;
}

auto crash_watcher::runCheck(std::string targetId) -> task<>
{
    auto address = m_checks.at(targetId).target->registration.address;
    auto error = co_await connectTo(address);
    auto check = std::move(m_checks.extract(targetId).mapped());
    // A target that was leaving has ended as planned.
    auto wasLeaving = check.target->isLeaving(bootClockNow());
    if (error == asio::error::connection_refused && !wasLeaving && !m_context.hasLostPaths(check.target->registration.service))
        reportCrash(check);
}

auto crash_watcher::reportCrash(const pending_check& check) -> void
{
    auto now = bootClockNow();
    auto& registration = check.target->registration;
    auto report = crash_report { registration.id, registration.incarnation, registration.service, check.lostAt, check.inFlight };
    std::erase_if(report.inFlight, [&](auto& request) { return m_context.poisonRequests.isProven(request, now); });
    ++m_context.counters.targetCrashes;
    auto requests = boost::json::array {};
    for (auto& request : report.inFlight)
        requests.emplace_back(toString(request));
    m_context.log.write(log_class::Notable, "target_crashed",
        { { "target", report.target }, { "service", report.service }, { "lost", check.inFlight.size() / 2 }, { "suspects", std::move(requests) } });
    m_context.poisonRequests.recordCrash(report, now);
    sendReport(report);
}

auto crash_watcher::sendReport(const crash_report& report) -> void
{
    // Reports about one target add up, so a long one is sent in parts.
    auto rest = std::span(report.inFlight);
    do {
        auto count = std::min(rest.size(), maxDatagramFingerprints);
        auto part = report;
        part.inFlight.assign(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(count));
        sendRepeatedly({ m_context.settings.name, std::vector<crash_report> { std::move(part) } });
        rest = rest.subspan(count);
    } while (!rest.empty());
}

auto crash_watcher::recordSuccess(const request_identity& request) -> void
{
    auto now = bootClockNow();
    for (auto& fingerprint : { request.ofCaller, request.ofAnyCaller }) {
        if (m_context.poisonRequests.recordSuccess(fingerprint, now))
            queueExoneration(fingerprint, now);
    }
}

auto crash_watcher::queueExoneration(const request_fingerprint& request, time_point now) -> void
{
    auto [queued, isNew] = m_exoneratedAt.try_emplace(request, now);
    if (!isNew && now < queued->second + exonerationInterval)
        return;
    queued->second = now;
    if (m_exonerated.size() < maxDatagramFingerprints)
        m_exonerated.push_back(request);
    if (m_exoneratedAt.size() > maxRememberedExonerations)
        m_exoneratedAt.clear();
}

auto crash_watcher::sendExonerations() -> void
{
    if (!m_exonerated.empty())
        sendToFleet({ m_context.settings.name, exonerations { std::exchange(m_exonerated, {}) } });
}

auto crash_watcher::sendRepeatedly(node_datagram datagram) -> void
{
    sendToFleet(datagram);
    if (m_repeated.empty())
        m_nextRepeatAt = bootClockNow() + repeatInterval;
    if (m_repeated.size() == maxRepeated)
        m_repeated.pop_front();
    m_repeated.push_back({ std::move(datagram), repeatCount });
}

auto crash_watcher::sendToFleet(const node_datagram& datagram) -> void
{
    // The request may come to any node, so crashes concern the whole fleet.
    m_send(datagram, m_context.memberView.fleetRecipients(m_context.random()));
}

auto crash_watcher::handleDatagram(const node_datagram& datagram) -> void
{
    auto now = bootClockNow();
    auto& detector = m_context.poisonRequests;
    if (auto* reports = std::get_if<std::vector<crash_report>>(&datagram.content)) {
        for (auto& report : *reports) {
            detector.recordCrash(report, now);
            // The sender and others may not have seen the success.
            for (auto& request : report.inFlight) {
                if (detector.isProven(request, now))
                    queueExoneration(request, now);
            }
        }
    } else if (auto* exonerated = std::get_if<exonerations>(&datagram.content)) {
        for (auto& request : exonerated->fingerprints)
            detector.recordExoneration(request, now);
    } else if (auto* quarantines = std::get_if<std::vector<quarantined_request>>(&datagram.content)) {
        for (auto& request : *quarantines)
            detector.recordQuarantine(request, now);
        // Sent periodically by the nodes of each data centre.
        return;
    }
    auto* sender = m_context.memberView.find(datagram.sender);
    if (sender != nullptr && sender->dataCentre != m_context.settings.dataCentre)
        m_send({ m_context.settings.name, datagram.content }, m_context.memberView.localPeers());
}

auto crash_watcher::tick(time_point now) -> void
{
    sendExonerations();
    if (!m_repeated.empty() && now >= m_nextRepeatAt) {
        m_nextRepeatAt = now + repeatInterval;
        for (auto& message : m_repeated) {
            sendToFleet(message.datagram);
            --message.remaining;
        }
        std::erase_if(m_repeated, [](auto& message) { return message.remaining == 0; });
    }
    if (m_context.poisonRequests.isEmpty() || now < m_nextQuarantinesAt)
        return;
    m_nextQuarantinesAt = now + quarantinesInterval;
    auto quarantines = m_context.poisonRequests.quarantined(now);
    logQuarantines(quarantines);
    if (!quarantines.empty())
        m_send({ m_context.settings.name, std::move(quarantines) }, m_context.memberView.recipients(now));
}

auto crash_watcher::logQuarantines(std::span<const quarantined_request> quarantines) -> void
{
    for (auto& request : quarantines) {
        if (m_logged.insert(request.fingerprint).second)
            m_context.log.write(log_class::Notable, "request_quarantined", { { "fingerprint", toString(request.fingerprint) } });
    }
    // Forgets all instead of single entries; a quarantine that lasts is then logged once more.
    if (m_logged.size() > poison_request_detector::maxQuarantined)
        m_logged.clear();
}

} // namespace gypsumhub
