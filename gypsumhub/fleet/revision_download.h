#pragma once

#include "gypsumhub/fleet/configuration_source.h"
#include "gypsumhub/fleet/peer_message.h"
#include "gypsumhub/fleet/revision_offers.h"

#include <memory>
#include <optional>

namespace gypsumhub {

/// One transfer of a revision from a peer. Survives a change of the peer: what is here stays.
class revision_download {
public:
    /// What became of a part.
    enum class progress : uint8_t {
        /// Does not belong to this transfer.
        Unrelated,
        Waiting,
        /// Everything of this request is here; the next should be sent.
        RequestNext,
        Complete,
        /// The part contradicts the others; the transfer must begin anew.
        Broken,
    };

    revision_download(configuration_source&, const revision_offer&);

    /// The revision being fetched.
    auto target() const -> const revision_id& { return m_target; }
    auto peer() const -> node_key { return m_peer; }
    auto have() const -> const revision_id& { return m_have; }

    /// Goes on with another peer that holds the same revision.
    auto switchTo(const revision_offer&) -> void;

    /// The request to send now; also sets when the answer is due.
    auto makeRequest(time_point answerBy) -> revision_request_message;
    /// When the peer counts as failing.
    auto deadline() const -> time_point { return m_deadline; }

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
