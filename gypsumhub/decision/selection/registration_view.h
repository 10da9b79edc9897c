#pragma once

#include "gypsumhub/config/target_registration.h"
#include "gypsumhub/core/time_point.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// A change of the view that matters to routing.
struct view_change {
    target_registration registration;
    bool isRemoval { false };
};

/// Who says that a target has gone.
enum class view_source : uint8_t {
    Store,
    Node,
};

/// The registrations of all targets as of the newest revision seen, from the store or from another node.
///
/// The store may lose entries of living targets while it is in trouble, and they come back after it has recovered. A
/// removal in such a time is held back for as long as a target may need to come back. The node that reads the store decides
/// that; a node that is told of a removal takes it at once, since its own trouble with the store says nothing about the reader's.
class registration_view {
public:
    /// Takes in an entry; returns it when routing must change. Older revisions than the known one change nothing.
    auto put(const target_registration&) -> std::optional<view_change>;
    /// Takes in a removal at a revision; returns it unless it is held back.
    auto remove(std::string_view id, uint64_t revision, view_source, time_point now) -> std::optional<view_change>;
    /// Takes in a whole listing: what is not listed is removed.
    auto replace(std::span<const target_registration>, uint64_t revision, view_source, time_point now) -> std::vector<view_change>;
    /// The store did not answer, or answered after a break.
    auto recordStoreOutage(time_point now) -> void;
    /// Returns the removals whose time has come.
    auto takeDueRemovals(time_point now) -> std::vector<view_change>;

    /// Equal for two views that route alike.
    auto digest() const -> uint64_t { return m_digest; }
    /// The newest revision taken in.
    auto revision() const -> uint64_t { return m_revision; }
    auto entries() const -> const std::map<std::string, target_registration, std::less<>>& { return m_entries; }

private:
    std::map<std::string, target_registration, std::less<>> m_entries;
    /// Revisions of removals, so that an older entry told by another node does not bring a target back.
    std::map<std::string, uint64_t, std::less<>> m_tombstones;
    std::map<std::string, time_point, std::less<>> m_pendingRemovals;
    time_point m_holdRemovalsUntil {};
    uint64_t m_revision { 0 };
    /// Sum over the entries, kept up with each change: hellos are compared several times a second.
    uint64_t m_digest { 0 };
};

} // namespace gypsumhub
