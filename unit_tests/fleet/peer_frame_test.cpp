#include "gypsumhub/fleet/peer_frame.h"

#include "fakes/faults_of.h"
#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/fleet/peer_codec.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    auto makeSeal(const char* key) -> frame_seal
    {
        return frame_seal::create(std::vector<std::string> { key }).value();
    }

    auto sampleRevisionId(uint64_t number) -> revision_id
    {
        auto revision = revision_id { number, {} };
        revision.hash.bytes.fill(std::byte { 7 });
        return revision;
    }

    // One message of each kind with its fields set.
    auto allMessages() -> std::vector<peer_message>
    {
        auto query = claim_query { { 3 }, "key-1", 99, 2, { 12345 } };
        auto answer = kept_answer { 200, "Content-Type: text/plain\r\n", std::string("a\0b", 3) };
        auto claims = std::vector<member_claim> { { { 5 }, 17, member_state::Suspected }, { { 6 }, 18, member_state::Dead } };
        auto item = evidence { { 1 }, { 2 }, health_state::Trial, -5, 6, 7, 8, { 9 } };
        return { evidence_message { { item }, node_key { 4 }, { { 5 }, { 6 } } }, claim_message { 1, query },
            claim_verdict_message { 2, { claim_decision::Replay, result_code::Ok, std::make_shared<const kept_answer>(answer) } },
            claim_record_message { 3, query, claim_end::Unknown, answer, { 77 } }, claim_record_ack_message { 4, true },
            digest_message { sampleRevisionId(8), 9, 10, 11 }, revision_request_message { sampleRevisionId(1), sampleRevisionId(2), 3 },
            revision_part_message { sampleRevisionId(2), {}, 1, 4, "bytes" }, ping_message { 1, 2, node_key { 3 }, claims },
            ping_ack_message { 1, 2, { 3 }, false, claims }, membership_message { claims } };
    }

    const auto header = frame_header { { 1 }, { 2 }, 3, 4, 5, 6 };

} // namespace

TEST_CASE("messages of every kind are decoded from a frame as they were encoded")
{
    auto seal = makeSeal("00112233445566778899aabbccddeeff");
    auto messages = allMessages();
    REQUIRE(messages.size() == std::variant_size_v<peer_message>);
    auto frame = sealFrame(seal, header, messages).value();
    auto opened = openFrame(seal, frame.body, frame.tag).value();
    CHECK(opened.header.counter == 4);
    REQUIRE(opened.messages.size() == messages.size());
    for (auto index = std::size_t { 0 }; index < messages.size(); ++index)
        CHECK(opened.messages[index].index() == index);
    // Encoding what was read gives the same bytes, so no field was lost.
    CHECK(sealFrame(seal, header, opened.messages).value().body == frame.body);
}

TEST_CASE("a frame that was changed, has a truncated tag or was signed with another key is refused before it is decoded")
{
    auto seal = makeSeal("00112233445566778899aabbccddeeff");
    auto other = makeSeal("ffeeddccbbaa99887766554433221100");
    auto frame = sealFrame(seal, header, allMessages()).value();
    CHECK((codeOf([&] { return openFrame(other, frame.body, frame.tag); }) == result_code::PeerUnauthenticated));
    auto random = random_generator(5);
    for (auto round = 0; round < 500; ++round) {
        auto changed = frame.body;
        changed[random.below(changed.size())] ^= std::byte { static_cast<uint8_t>(1 + random.below(255)) };
        CHECK((codeOf([&] { return openFrame(seal, changed, frame.tag); }) == result_code::PeerUnauthenticated));
    }
    auto shortTag = std::span(frame.tag).first(16);
    CHECK((codeOf([&] { return openFrame(seal, frame.body, shortTag); }) == result_code::PeerUnauthenticated));
}

TEST_CASE("a correctly signed but malformed frame is refused with a fault, never a crash")
{
    auto seal = makeSeal("00112233445566778899aabbccddeeff");
    auto body = sealFrame(seal, header, allMessages()).value().body;
    auto random = random_generator(6);
    auto refused = 0;
    for (auto round = 0; round < 5000; ++round) {
        auto changed = body;
        for (auto flips = 1 + random.below(4); flips > 0; --flips)
            changed[random.below(changed.size())] = std::byte { static_cast<uint8_t>(random.below(256)) };
        changed.resize(1 + random.below(changed.size()));
        auto code = codeOf([&] { return openFrame(seal, changed, seal.sign(changed)); });
        CHECK((code == result_code::Ok || code == result_code::PeerFrameInvalid));
        refused += code == result_code::PeerFrameInvalid ? 1 : 0;
    }
    CHECK(refused > 1000);
    auto huge = std::vector<std::byte>(maxFrameBytes + 1);
    CHECK((codeOf([&] { return openFrame(seal, huge, seal.sign(huge)); }) == result_code::PeerFrameInvalid));
}

TEST_CASE("repeated frames and frames of other sessions or wrong peers are refused with their own codes")
{
    auto sequence = frame_sequence(header);
    CHECK((sequence.check({ { 1 }, { 2 }, 3, 1, 5, 6 }) == result_code::Ok));
    CHECK((sequence.check({ { 1 }, { 2 }, 3, 1, 5, 6 }) == result_code::PeerFrameReplayed));
    CHECK((sequence.check({ { 1 }, { 2 }, 3, 5, 5, 6 }) == result_code::Ok));
    CHECK((sequence.check({ { 1 }, { 2 }, 3, 4, 5, 6 }) == result_code::PeerFrameReplayed));
    CHECK((sequence.check({ { 1 }, { 2 }, 3, 6, 5, 7 }) == result_code::PeerFrameReplayed));
    CHECK((sequence.check({ { 1 }, { 2 }, 3, 6, 4, 6 }) == result_code::PeerFrameReplayed));
    CHECK((sequence.check({ { 9 }, { 2 }, 3, 6, 5, 6 }) == result_code::PeerFrameInvalid));
    // A frame reflected to its sender.
    CHECK((sequence.check({ { 2 }, { 1 }, 3, 6, 5, 6 }) == result_code::PeerFrameInvalid));
}

} // namespace gypsumhub
