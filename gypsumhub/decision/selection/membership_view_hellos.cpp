#include "gypsumhub/decision/selection/membership_view.h"

namespace gypsumhub {

namespace {

    // Three consecutive hellos were lost, or the node has failed.
    constexpr auto helloTimeout = milliseconds(1300);

} // namespace

auto membership_view::hasRecentHello(const node& other, time_point now) const -> bool
{
    return other.hasHello && now <= other.helloReceivedAt + helloTimeout;
}

auto membership_view::canRead(const node& other, time_point now) const -> bool
{
    return !other.hello.isLeaving && hasRecentHello(other, now);
}

auto membership_view::confirmationSources(time_point now) const -> std::vector<confirmation_source>
{
    auto sources = std::vector<confirmation_source> {};
    for (auto& [name, other] : m_nodes) {
        auto isRecent = hasRecentHello(other, now);
        auto isStated = isRecent && other.hello.confirmedAge != unconfirmedAge;
        auto age = isStated ? other.hello.confirmedAge + (now - other.helloReceivedAt) : unconfirmedAge;
        sources.push_back({ name, other.registration.dataCentre == m_own.dataCentre, isRecent, age });
    }
    return sources;
}

} // namespace gypsumhub
