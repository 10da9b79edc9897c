#include "gypsumhub/gateway/node_datagram.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

const auto now = time_point {} + seconds(50);

auto makeChanges(size_t count) -> std::vector<view_change>
{
    auto entry = target_registration {};
    entry.id = "i-0123456789";
    entry.service = "bookdesk";
    entry.address = { "10.0.0.1", 8080 };
    entry.dataCentre = "ahd-a";
    entry.warmedUpAt = now + seconds(2);
    entry.incarnation = 1'700'000'000'123;
    entry.revision = 77;
    return std::vector<view_change>(count, { entry, false });
}

} // namespace

TEST_CASE("datagrams carry hellos, outcomes and registrations with ages instead of clock times")
{
    auto later = now + seconds(1000);
    auto hello = node_hello { "n1", true, false, 31, 99, milliseconds(250), 7, { { "h.example", 12.5, 0.25 } } };
    auto read = decodeDatagram(encodeDatagram({ "n1", hello }, now), later);
    REQUIRE(read);
    CHECK(std::get<node_hello>(read->content).viewDigest == 99);
    REQUIRE(std::get<node_hello>(read->content).demands.size() == 1);
    CHECK(std::get<node_hello>(read->content).demands.front().host == "h.example");
    CHECK(std::get<node_hello>(read->content).demands.front().requestsPerSecond == doctest::Approx(12.5));

    auto outcomes = std::vector<peer_outcome> { { "i-1", 5, true, now - milliseconds(40) } };
    read = decodeDatagram(encodeDatagram({ "n1", outcomes }, now), later);
    REQUIRE(read);
    CHECK((std::get<std::vector<peer_outcome>>(read->content).front().sentAt == later - milliseconds(40)));

    read = decodeDatagram(encodeDatagram({ "n1", makeChanges(2) }, now), later);
    REQUIRE(read);
    auto& change = std::get<std::vector<view_change>>(read->content).back();
    CHECK((change.registration.warmedUpAt == later + seconds(2)));
    CHECK(change.registration.hasSameRouting(makeChanges(1).front().registration));
}

TEST_CASE("a full datagram fits into one packet, and malformed bytes are rejected")
{
    auto bytes = encodeDatagram({ "edge-ahd-a-12", makeChanges(maxDatagramEntries) }, now);
    CHECK(bytes.size() < 1'200);
    CHECK_FALSE(decodeDatagram("", now));
    CHECK_FALSE(decodeDatagram("\xff\xff\xff\xff garbage", now));
    for (auto length = size_t { 0 }; length < bytes.size(); ++length)
        decodeDatagram(std::string_view(bytes).substr(0, length), now);
}
