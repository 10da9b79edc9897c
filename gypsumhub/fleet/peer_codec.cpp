#include "gypsumhub/fleet/peer_codec.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <string_view>

namespace gypsumhub {

namespace {

    auto asData(std::string_view bytes) -> capnp::Data::Reader
    {
        return { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() };
    }

    auto asString(capnp::Data::Reader data) -> std::string
    {
        return { reinterpret_cast<const char*>(data.begin()), data.size() };
    }

    auto invalid(const char* message) -> leaf::error_id
    {
        return failWith({ result_code::PeerFrameInvalid, message });
    }

    // Reads an enumerator that must not exceed `last`.
    template <typename Enum>
    auto readEnum(uint8_t value, Enum last) -> leaf::result<Enum>
    {
        if (value > static_cast<uint8_t>(last))
            return invalid("an enumerator is out of range");
        return static_cast<Enum>(value);
    }

    auto writeRevision(wire::RevisionId::Builder out, const revision_id& revision) -> void
    {
        out.setNumber(revision.number);
        // The empty revision needs no hash.
        if (revision.number != 0)
            out.setHash({ reinterpret_cast<const kj::byte*>(revision.hash.bytes.data()), revision.hash.bytes.size() });
    }

    auto readRevision(wire::RevisionId::Reader in) -> leaf::result<revision_id>
    {
        auto revision = revision_id { in.getNumber(), {} };
        auto hash = in.getHash();
        if (revision.number == 0)
            return revision;
        if (hash.size() != revision.hash.bytes.size())
            return invalid("the hash of a revision has the wrong length");
        std::ranges::copy(std::as_bytes(std::span(hash.begin(), hash.size())), revision.hash.bytes.begin());
        return revision;
    }

    auto writeQuery(wire::ClaimQuery::Builder out, const claim_query& query) -> void
    {
        out.setService(query.service.value);
        out.setIdempotencyKey(query.idempotencyKey);
        out.setRequestDigest(query.requestDigest);
        out.setAttempt(query.attempt);
        out.setDeadline(query.deadline.ns);
    }

    auto readQuery(wire::ClaimQuery::Reader in) -> claim_query
    {
        auto key = in.getIdempotencyKey();
        return { { in.getService() }, { key.begin(), key.size() }, in.getRequestDigest(), in.getAttempt(), { in.getDeadline() } };
    }

    auto writeAnswer(wire::KeptAnswer::Builder out, const kept_answer& answer) -> void
    {
        out.setStatus(answer.status);
        out.setHeader(asData(answer.header));
        out.setBody(asData(answer.body));
    }

    auto readAnswer(wire::KeptAnswer::Reader in) -> kept_answer
    {
        return { in.getStatus(), asString(in.getHeader()), asString(in.getBody()) };
    }

    auto writeClaims(capnp::List<wire::MemberClaim>::Builder list, std::span<const member_claim> claims) -> void
    {
        for (auto index = capnp::uint { 0 }; index < list.size(); ++index) {
            list[index].setNode(claims[index].node.value);
            list[index].setIncarnation(claims[index].incarnation);
            list[index].setState(static_cast<uint8_t>(claims[index].state));
        }
    }

    auto readClaims(capnp::List<wire::MemberClaim>::Reader list) -> leaf::result<std::vector<member_claim>>
    {
        auto claims = std::vector<member_claim> {};
        for (auto item : list) {
            BOOST_LEAF_AUTO(state, readEnum(item.getState(), member_state::Dead));
            claims.push_back({ { item.getNode() }, item.getIncarnation(), state });
        }
        return claims;
    }

    // Visitor that encodes each kind of message.
    struct message_writer {
        wire::PeerMessage::Builder out;

        auto operator()(const evidence_message& message) -> void
        {
            auto group = out.initEvidence();
            group.setOrigin(message.origin ? message.origin->value : 0);
            if (!message.forwardTo.empty()) {
                auto forwardTo = group.initForwardTo(static_cast<capnp::uint>(message.forwardTo.size()));
                for (auto index = capnp::uint { 0 }; index < forwardTo.size(); ++index)
                    forwardTo.set(index, message.forwardTo[index].value);
            }
            auto list = group.initItems(static_cast<capnp::uint>(message.items.size()));
            for (auto index = capnp::uint { 0 }; index < list.size(); ++index) {
                auto& item = message.items[index];
                list[index].setService(item.service.value);
                list[index].setTarget(item.target.value);
                list[index].setState(static_cast<uint8_t>(item.state));
                list[index].setErrorScore(item.errorScore);
                list[index].setSlowScore(item.slowScore);
                list[index].setSamples(item.samples);
                list[index].setFailuresInRow(item.failuresInRow);
                list[index].setValidUntil(item.validUntil.ns);
            }
        }

        auto operator()(const claim_message& message) -> void
        {
            auto claim = out.initClaim();
            claim.setRequestId(message.requestId);
            writeQuery(claim.initQuery(), message.query);
        }

        auto operator()(const claim_verdict_message& message) -> void
        {
            auto group = out.initClaimVerdict();
            group.setRequestId(message.requestId);
            auto verdict = group.initVerdict();
            verdict.setDecision(static_cast<uint8_t>(message.verdict.decision));
            verdict.setCode(static_cast<uint16_t>(message.verdict.code));
            if (message.verdict.answer)
                writeAnswer(verdict.initAnswer(), *message.verdict.answer);
        }

        auto operator()(const claim_record_message& message) -> void
        {
            auto record = out.initClaimRecord();
            record.setRequestId(message.requestId);
            writeQuery(record.initQuery(), message.query);
            if (message.end)
                record.setEnd(static_cast<uint8_t>(static_cast<uint8_t>(*message.end) + 1));
            if (message.answer)
                writeAnswer(record.initAnswer(), *message.answer);
            record.setKeptUntil(message.keptUntil.ns);
        }

        auto operator()(const claim_record_ack_message& message) -> void
        {
            auto ack = out.initClaimRecordAck();
            ack.setRequestId(message.requestId);
            ack.setHeld(message.held);
        }

        auto operator()(const digest_message& message) -> void
        {
            auto digest = out.initDigest();
            writeRevision(digest.initRevision(), message.revision);
            digest.setMembershipHash(message.membershipHash);
            digest.setQuestion(message.question);
            digest.setAnswerTo(message.answerTo);
        }

        auto operator()(const revision_request_message& message) -> void
        {
            auto request = out.initRevisionRequest();
            writeRevision(request.initHave(), message.have);
            writeRevision(request.initWanted(), message.wanted);
            request.setFromChunk(message.fromChunk);
        }

        auto operator()(const revision_part_message& message) -> void
        {
            auto part = out.initRevisionPart();
            writeRevision(part.initRevision(), message.revision);
            writeRevision(part.initHave(), message.have);
            part.setPart(message.part);
            part.setPartCount(message.partCount);
            part.setBytes(asData(message.bytes));
        }

        auto operator()(const ping_message& message) -> void
        {
            auto ping = out.initPing();
            ping.setSequence(message.sequence);
            ping.setIncarnation(message.incarnation);
            ping.setSubject(message.subject ? message.subject->value : 0);
            if (!message.claims.empty())
                writeClaims(ping.initClaims(static_cast<capnp::uint>(message.claims.size())), message.claims);
        }

        auto operator()(const ping_ack_message& message) -> void
        {
            auto ack = out.initPingAck();
            ack.setSequence(message.sequence);
            ack.setIncarnation(message.incarnation);
            ack.setSubject(message.subject.value);
            ack.setReached(message.reached);
            if (!message.claims.empty())
                writeClaims(ack.initClaims(static_cast<capnp::uint>(message.claims.size())), message.claims);
        }

        auto operator()(const membership_message& message) -> void
        {
            writeClaims(out.initMembership(static_cast<capnp::uint>(message.claims.size())), message.claims);
        }
    };

    auto readEvidence(wire::PeerMessage::Evidence::Reader in) -> leaf::result<peer_message>
    {
        auto message = evidence_message {};
        if (in.getOrigin() != 0)
            message.origin = node_key { in.getOrigin() };
        for (auto receiver : in.getForwardTo())
            message.forwardTo.push_back({ receiver });
        for (auto item : in.getItems()) {
            BOOST_LEAF_AUTO(state, readEnum(item.getState(), health_state::Leaving));
            message.items.push_back({ { item.getService() }, { item.getTarget() }, state, item.getErrorScore(), item.getSlowScore(),
                item.getSamples(), item.getFailuresInRow(), { item.getValidUntil() } });
        }
        return peer_message(std::move(message));
    }

    auto readVerdict(uint64_t requestId, wire::ClaimVerdict::Reader in) -> leaf::result<peer_message>
    {
        auto message = claim_verdict_message { requestId, {} };
        BOOST_LEAF_ASSIGN(message.verdict.decision, readEnum(in.getDecision(), claim_decision::Refuse));
        auto code = resultCodeFromNumber(in.getCode());
        if (!code)
            return invalid("a result code is unknown");
        message.verdict.code = *code;
        if (in.hasAnswer())
            message.verdict.answer = std::make_shared<const kept_answer>(readAnswer(in.getAnswer()));
        return peer_message(std::move(message));
    }

    auto readRecord(wire::PeerMessage::ClaimRecord::Reader in) -> leaf::result<peer_message>
    {
        auto message = claim_record_message { in.getRequestId(), readQuery(in.getQuery()), {}, {}, { in.getKeptUntil() } };
        if (in.getEnd() != 0) {
            BOOST_LEAF_AUTO(end, readEnum(static_cast<uint8_t>(in.getEnd() - 1), claim_end::Unknown));
            message.end = end;
        }
        if (in.hasAnswer())
            message.answer = readAnswer(in.getAnswer());
        return peer_message(std::move(message));
    }

    auto readRequest(wire::PeerMessage::RevisionRequest::Reader in) -> leaf::result<peer_message>
    {
        BOOST_LEAF_AUTO(have, readRevision(in.getHave()));
        BOOST_LEAF_AUTO(wanted, readRevision(in.getWanted()));
        return peer_message(revision_request_message { have, wanted, in.getFromChunk() });
    }

    auto readPart(wire::PeerMessage::RevisionPart::Reader in) -> leaf::result<peer_message>
    {
        BOOST_LEAF_AUTO(revision, readRevision(in.getRevision()));
        BOOST_LEAF_AUTO(have, readRevision(in.getHave()));
        if (in.getPart() >= in.getPartCount())
            return invalid("the number of a part is not less than the part count");
        return peer_message(revision_part_message { revision, have, in.getPart(), in.getPartCount(), asString(in.getBytes()) });
    }

    auto readPing(wire::PeerMessage::Ping::Reader in) -> leaf::result<peer_message>
    {
        auto message = ping_message { in.getSequence(), in.getIncarnation(), {} };
        if (in.getSubject() != 0)
            message.subject = node_key { in.getSubject() };
        BOOST_LEAF_ASSIGN(message.claims, readClaims(in.getClaims()));
        return peer_message(std::move(message));
    }

    auto readPingAck(wire::PeerMessage::PingAck::Reader in) -> leaf::result<peer_message>
    {
        auto message = ping_ack_message { in.getSequence(), in.getIncarnation(), { in.getSubject() }, in.getReached() };
        BOOST_LEAF_ASSIGN(message.claims, readClaims(in.getClaims()));
        return peer_message(std::move(message));
    }

    auto readMembership(capnp::List<wire::MemberClaim>::Reader list) -> leaf::result<peer_message>
    {
        BOOST_LEAF_AUTO(claims, readClaims(list));
        return peer_message(membership_message { std::move(claims) });
    }

} // namespace

auto writePeerMessage(wire::PeerMessage::Builder out, const peer_message& message) -> void
{
    std::visit(message_writer { out }, message);
}

auto readPeerMessage(wire::PeerMessage::Reader in) -> leaf::result<peer_message>
{
    switch (in.which()) {
    case wire::PeerMessage::EVIDENCE:
        return readEvidence(in.getEvidence());
    case wire::PeerMessage::CLAIM:
        return peer_message(claim_message { in.getClaim().getRequestId(), readQuery(in.getClaim().getQuery()) });
    case wire::PeerMessage::CLAIM_VERDICT:
        return readVerdict(in.getClaimVerdict().getRequestId(), in.getClaimVerdict().getVerdict());
    case wire::PeerMessage::CLAIM_RECORD:
        return readRecord(in.getClaimRecord());
    case wire::PeerMessage::CLAIM_RECORD_ACK:
        return peer_message(claim_record_ack_message { in.getClaimRecordAck().getRequestId(), in.getClaimRecordAck().getHeld() });
    case wire::PeerMessage::DIGEST: {
        BOOST_LEAF_AUTO(revision, readRevision(in.getDigest().getRevision()));
        auto digest = in.getDigest();
        return peer_message(
            digest_message { revision, digest.getMembershipHash(), digest.getQuestion(), digest.getAnswerTo() });
    }
    case wire::PeerMessage::REVISION_REQUEST:
        return readRequest(in.getRevisionRequest());
    case wire::PeerMessage::REVISION_PART:
        return readPart(in.getRevisionPart());
    case wire::PeerMessage::PING:
        return readPing(in.getPing());
    case wire::PeerMessage::PING_ACK:
        return readPingAck(in.getPingAck());
    case wire::PeerMessage::MEMBERSHIP:
        return readMembership(in.getMembership());
    }
    return invalid("the message kind is unknown");
}

auto encodedSize(const peer_message& message) -> std::size_t
{
    auto builder = capnp::MallocMessageBuilder {};
    writePeerMessage(builder.initRoot<wire::PeerMessage>(), message);
    auto stream = kj::VectorOutputStream {};
    capnp::writePackedMessage(stream, builder);
    return stream.getArray().size();
}

} // namespace gypsumhub
