#pragma once

#include "gypsumhub/fleet/configuration_source.h"
#include "gypsumhub/fleet/peer_message.h"
#include "gypsumhub/fleet/revision_offers.h"

#include <memory>
#include <optional>

namespace gypsumhub {

/// One transfer of a revision from a peer. Keeps the received parts when it switches to another peer.
class revision_download {
public:
    /// Result of a received part.
    enum class progress : uint8_t {
        /// The part does not belong to this transfer.
        Unrelated,
        /// More parts of this request are expected.
        Waiting,
        /// All parts of this request are present; the next request is to be sent.
        RequestNext,
        /// All parts of the revision are present.
        Complete,
        /// The part does not match the others; the transfer must restart.
        Broken,
    };

    revision_download(configuration_source&, const revision_offer&);

    /// The revision being downloaded.
    auto target() const -> const revision_id& { return m_target; }
    auto peer() const -> node_key { return m_peer; }
    /// The revision that was in force when the transfer began; the parts lead on from it.
    auto have() const -> const revision_id& { return m_have; }

    /// Continues with another peer that offers the same revision.
    auto switchTo(const revision_offer&) -> void;

    /// Returns the next request and sets the deadline to `answerBy`.
    auto makeRequest(time_point answerBy) -> revision_request_message;
    /// When the peer counts as failed if no further part arrives.
    auto deadline() const -> time_point { return m_deadline; }

    /// Adds a received part; one that is accepted moves the deadline to `answerBy`.
    auto put(node_key sender, const revision_part_message&, time_point answerBy) -> progress;

    /// Verifies the parts and puts the revision in force.
    auto finish() -> leaf::result<revision_id> { return m_sink->finish(); }

private:
    configuration_source& m_source;
    std::unique_ptr<revision_part_sink> m_sink;
    revision_id m_target;
    revision_id m_have;
    node_key m_peer;
    uint32_t m_requestEnd { 0 };
    time_point m_deadline {};
};

} // namespace gypsumhub
