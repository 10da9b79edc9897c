#include "gypsumhub/fleet/transport_inbox.h"

#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto maxWaitingMessages = std::size_t { 8192 };

} // namespace

transport_inbox::transport_inbox()
    : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
}

transport_inbox::~transport_inbox()
{
    close(m_descriptor);
}

auto transport_inbox::addMessage(outgoing_message message) -> bool
{
    {
        auto lock = std::lock_guard(m_mutex);
        if (m_requests.messages.size() >= maxWaitingMessages)
            return false;
        m_requests.messages.push_back(std::move(message));
    }
    wake();
    return true;
}

auto transport_inbox::setPeers(std::map<node_key, peer_address> peers) -> void
{
    {
        auto lock = std::lock_guard(m_mutex);
        m_requests.peers = std::move(peers);
    }
    wake();
}

auto transport_inbox::addSeeds(std::vector<endpoint> seeds) -> void
{
    {
        auto lock = std::lock_guard(m_mutex);
        m_requests.seeds.insert(m_requests.seeds.end(), seeds.begin(), seeds.end());
    }
    wake();
}

auto transport_inbox::stop() -> void
{
    {
        auto lock = std::lock_guard(m_mutex);
        m_requests.stop = true;
    }
    wake();
}

auto transport_inbox::take() -> transport_requests
{
    auto count = uint64_t { 0 };
    // The descriptor is reset first, so that a request added in between wakes the thread again.
    [[maybe_unused]] auto ignored = read(m_descriptor, &count, sizeof(count));
    auto lock = std::lock_guard(m_mutex);
    return std::exchange(m_requests, {});
}

auto transport_inbox::wake() const -> void
{
    auto one = uint64_t { 1 };
    [[maybe_unused]] auto ignored = write(m_descriptor, &one, sizeof(one));
}

} // namespace gypsumhub
