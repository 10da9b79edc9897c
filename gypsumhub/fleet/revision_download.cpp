#include "gypsumhub/fleet/revision_download.h"

#include "gypsumhub/fleet/upload_queue.h"

namespace gypsumhub {

revision_download::revision_download(configuration_source& source, const revision_offer& offer)
    : m_source(source)
    , m_sink(source.beginUpdate(offer.revision))
    , m_target(offer.revision)
    , m_have(source.current())
    , m_peer(offer.peer)
{
}

auto revision_download::switchTo(const revision_offer& offer) -> void
{
    m_peer = offer.peer;
}

auto revision_download::makeRequest(time_point answerBy) -> revision_request_message
{
    auto from = m_sink->firstMissing().value_or(0);
    m_requestEnd = from + partsPerRequest;
    m_deadline = answerBy;
    return { m_have, m_target, from };
}

auto revision_download::put(node_key sender, const revision_part_message& message, time_point answerBy) -> progress
{
    if (message.have != m_have || message.revision.number < m_target.number)
        return progress::Unrelated;
    if (message.revision != m_target) {
        if (sender != m_peer)
            return progress::Unrelated;
        // The peer has a later revision and no longer keeps the requested one: restart with the later one.
        m_target = message.revision;
        m_sink = m_source.beginUpdate(m_target);
    }
    auto accepted = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(m_sink->put(message.part, message.partCount, message.bytes));
            return true;
        },
        [] { return false; });
    if (!accepted)
        return progress::Broken;
    m_deadline = answerBy;
    auto missing = m_sink->firstMissing();
    if (!missing)
        return progress::Complete;
    return *missing >= m_requestEnd ? progress::RequestNext : progress::Waiting;
}

} // namespace gypsumhub
