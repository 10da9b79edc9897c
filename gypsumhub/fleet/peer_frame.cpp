#include "gypsumhub/fleet/peer_frame.h"

#include "gypsumhub/fleet/peer_codec.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>

namespace gypsumhub {

namespace {

    auto writeHeader(wire::FrameBody::Builder out, const frame_header& header) -> void
    {
        out.setSender(header.sender.value);
        out.setReceiver(header.receiver.value);
        out.setSenderIncarnation(header.incarnation);
        out.setCounter(header.counter);
        out.setDialerNonce(header.dialerNonce);
        out.setAcceptorNonce(header.acceptorNonce);
    }

    auto readHeader(wire::FrameBody::Reader in) -> frame_header
    {
        return { { in.getSender() }, { in.getReceiver() }, in.getSenderIncarnation(), in.getCounter(), in.getDialerNonce(),
            in.getAcceptorNonce() };
    }

    auto decodeBody(std::span<const std::byte> body) -> leaf::result<opened_frame>
    {
        auto stream = kj::ArrayInputStream({ reinterpret_cast<const kj::byte*>(body.data()), body.size() });
        auto options = capnp::ReaderOptions {};
        // Packed zeros expand by up to 1024 times; legitimate messages expand to at most a few times the frame.
        options.traversalLimitInWords = 8 * maxFrameBytes / sizeof(capnp::word);
        auto reader = capnp::PackedMessageReader(stream, options);
        auto root = reader.getRoot<wire::FrameBody>();
        auto frame = opened_frame { readHeader(root), {} };
        for (auto entry : root.getMessages()) {
            BOOST_LEAF_AUTO(message, readPeerMessage(entry));
            frame.messages.push_back(std::move(message));
        }
        return frame;
    }

} // namespace

auto sealFrame(const frame_seal& seal, const frame_header& header, std::span<const peer_message> messages) -> leaf::result<sealed_frame>
{
    auto builder = capnp::MallocMessageBuilder {};
    auto root = builder.initRoot<wire::FrameBody>();
    writeHeader(root, header);
    auto list = root.initMessages(static_cast<capnp::uint>(messages.size()));
    for (auto index = capnp::uint { 0 }; index < list.size(); ++index)
        writePeerMessage(list[index], messages[index]);
    auto stream = kj::VectorOutputStream {};
    capnp::writePackedMessage(stream, builder);
    auto bytes = stream.getArray();
    if (bytes.size() > maxFrameBytes)
        return failWith({ result_code::PeerFrameInvalid, "the frame exceeds the size that peers accept" });
    auto frame = sealed_frame {};
    auto view = std::as_bytes(std::span(bytes.begin(), bytes.size()));
    frame.body.assign(view.begin(), view.end());
    frame.tag = seal.sign(frame.body);
    return frame;
}

auto openFrame(const frame_seal& seal, std::span<const std::byte> body, std::span<const std::byte> tag) -> leaf::result<opened_frame>
{
    if (body.size() > maxFrameBytes)
        return failWith({ result_code::PeerFrameInvalid, "the frame is too large" });
    // The tag is verified first, so that only holders of a key reach the decoder.
    if (!seal.verify(body, tag))
        return failWith({ result_code::PeerUnauthenticated, "no peer key matches the frame" });
    auto result = leaf::result<opened_frame>(leaf::new_error());
    auto thrown = kj::runCatchingExceptions([&] { result = decodeBody(body); });
    if (thrown != nullptr)
        return failWith({ result_code::PeerFrameInvalid, "the frame cannot be decoded" });
    return result;
}

auto frame_sequence::check(const frame_header& header) -> result_code
{
    if (header.sender != m_expected.sender || header.receiver != m_expected.receiver)
        return result_code::PeerFrameInvalid;
    if (header.dialerNonce != m_expected.dialerNonce || header.acceptorNonce != m_expected.acceptorNonce)
        return result_code::PeerFrameReplayed;
    if (header.counter <= m_lastCounter)
        return result_code::PeerFrameReplayed;
    m_lastCounter = header.counter;
    return result_code::Ok;
}

} // namespace gypsumhub
