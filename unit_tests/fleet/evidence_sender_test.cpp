#include "gypsumhub/fleet/evidence_sender.h"

#include "fakes/fake_network.h"

#include <doctest/doctest.h>
#include <memory>

namespace gypsumhub {

namespace {

    /// Ignores all events.
    struct silent_listener final : membership_listener {
        auto onMembershipChange() -> void override { }
        auto onPeerReplaced(node_key) -> void override { }
    };

    /// One member of a serving group on a fake network.
    struct group_end final : fake_network_node {
        group_end(fake_network& network, const evidence_sender_settings& settings, const std::vector<registered_node>& nodes)
            : view({ settings.self }, network.senderOf(settings.self), listener)
            , sender(settings, view, network.senderOf(settings.self))
        {
            // Membership only maps nodes to data centres here; it does not tick.
            view.setNodes(nodes, {});
            network.setNode(settings.self, this);
        }

        auto onTick(time_point now) -> void override { sender.tick(now); }
        auto onMessage(node_key from, peer_message message, time_point) -> void override
        {
            if (auto* found = std::get_if<evidence_message>(&message))
                received.push_back(sender.handle(from, *found));
        }

        silent_listener listener;
        membership view;
        evidence_sender sender;
        std::vector<evidence_event> received;
    };

    /// A group of three members in each of five data centres; the first two data centres form a region.
    struct group_bench {
        explicit group_bench(bool usesRelays)
            : network(1)
        {
            for (auto key = uint64_t { 1 }; key <= 15; ++key) {
                auto dataCentre = static_cast<uint16_t>((key - 1) / 3);
                nodes.push_back({ { key }, dataCentre, static_cast<uint16_t>(dataCentre < 2 ? 0 : 1) });
                receivers.push_back({ key });
            }
            network.measureBytes([this](node_key a, node_key b) { return distanceBetween(nodes[a.value - 1], nodes[b.value - 1]); });
            for (auto key : receivers) {
                auto settings = evidence_sender_settings { key };
                settings.usesRelays = usesRelays;
                ends.push_back(std::make_unique<group_end>(network, settings, nodes));
            }
        }

        auto addEvidence(uint64_t target, int32_t score) -> void
        {
            auto item = evidence { { 1 }, { target }, health_state::Demoted, score };
            ends.front()->sender.add({ receivers, { item } }, network.now());
        }

        fake_network network;
        std::vector<registered_node> nodes;
        std::vector<node_key> receivers;
        std::vector<std::unique_ptr<group_end>> ends;
    };

} // namespace

TEST_CASE("evidence reaches each member of the group once, with its origin as the sender")
{
    auto bench = group_bench(true);
    bench.network.runFor(seconds(1));
    bench.addEvidence(7, 100);
    bench.network.runFor(seconds(1));
    CHECK(bench.ends.front()->received.empty());
    for (auto index = std::size_t { 1 }; index < 15; ++index) {
        REQUIRE(bench.ends[index]->received.size() == 1);
        CHECK(bench.ends[index]->received.front().sender == node_key { 1 });
        CHECK(bench.ends[index]->received.front().items.front().errorScore == 100);
    }
}

TEST_CASE("with relays, evidence crosses between regions once per data centre")
{
    auto crossRegionMessages = std::map<bool, uint64_t> {};
    for (auto usesRelays : { true, false }) {
        auto bench = group_bench(usesRelays);
        bench.network.runFor(seconds(1));
        for (auto target = uint64_t { 1 }; target <= 10; ++target) {
            bench.addEvidence(target, 1);
            bench.network.runFor(seconds(10));
        }
        crossRegionMessages[usesRelays] = bench.network.meter().messages(0, peer_distance::OtherRegion);
    }
    // Three data centres with three members each are in the other region.
    CHECK(crossRegionMessages[true] == 30);
    CHECK(crossRegionMessages[false] == 90);
}

TEST_CASE("evidence stays within its budget, and the latest item for each target is delivered")
{
    auto bench = group_bench(true);
    bench.network.runFor(seconds(1));
    auto bytesBefore = bench.network.meter().totalBytes();
    // All 25 targets of a service change 10 times per second for 5 minutes.
    for (auto step = int32_t { 1 }; step <= 3000; ++step) {
        for (auto target = uint64_t { 1 }; target <= 25; ++target)
            bench.addEvidence(target, step);
        bench.network.runFor(milliseconds(100));
    }
    auto& counts = bench.ends.front()->sender.counts();
    auto sentBytes = bench.network.meter().totalBytes() - bytesBefore;
    CHECK(counts.itemsAdded == 75'000);
    // Budget and burst of the origin, and as much again for each of the two receivers that a relay forwards a message to.
    CHECK(sentBytes < 3 * (300 * 1500 + 24 * 1024));
    bench.network.runFor(seconds(60));
    for (auto index = std::size_t { 1 }; index < 15; ++index)
        CHECK(bench.ends[index]->received.back().items.back().errorScore == 3000);
}

} // namespace gypsumhub
