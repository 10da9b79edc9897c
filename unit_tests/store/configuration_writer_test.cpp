#include "gypsumhub/store/configuration_writer.h"

#include "fakes/fake_store.h"
#include "fakes/faults_of.h"
#include "fakes/sample_documents.h"
#include "fakes/sample_revisions.h"
#include "gypsumhub/config/revision_codec.h"
#include "gypsumhub/store/configuration_keys.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    /// A store in virtual time with the sample documents in force.
    struct writer_bench {
        writer_bench()
        {
            apply(registerText, std::nullopt, "first").value();
            propose(config_document::Rules, sampleRulesText(), std::nullopt, "rules").value();
        }

        auto clock() -> store_clock
        {
            return { [this] { return now; }, [this](time_point instant) { now = std::max(now, instant); } };
        }

        auto makeWriter() -> configuration_writer { return { destination, limits, clock() }; }

        auto propose(config_document document, const std::string& text, std::optional<uint64_t> base, std::string_view name) -> leaf::result<accepted_change>
        {
            auto parsed = parseIni(text, "file", result_code::ConfigurationInvalid).value();
            auto proposal = document_proposal { document, toEntries(document, parsed), base, sampleOrigin(name) };
            return makeWriter().apply(proposal, now + seconds(30));
        }

        auto apply(const std::string& text, std::optional<uint64_t> base, std::string_view name) -> leaf::result<accepted_change>
        {
            return propose(config_document::Register, text, base, name);
        }

        auto inForce() -> std::shared_ptr<const config_revision> { return configuration_loader(destination).load(nullptr, now + seconds(30)).value(); }

        auto rateOf(std::string_view caller) -> std::string { return inForce()->find("register/caller " + std::string(caller)).value().value_or("absent"); }

        time_point now = time_point {} + seconds(1000);
        fake_store destination { now };
        configuration_writer::settings limits { 5 };
        std::string registerText = sampleRegisterText();
    };

    auto withRate(std::string text, std::string_view name, uint32_t rate) -> std::string
    {
        return text + "[caller " + std::string(name) + "]\nrequests_per_second = " + std::to_string(rate) + "\n";
    }

    /// What a writer without settling does: it takes a lost reply for a failure and makes the change anew.
    auto naiveApply(writer_bench& bench, const std::vector<entry_change>& changes, std::string_view name) -> int
    {
        auto writes = 0;
        for (auto attempt = 0; attempt < 5; ++attempt) {
            auto parent = bench.inForce();
            auto head = configuration_loader(bench.destination).readHead(bench.now + seconds(5)).value();
            auto next = makeRevision(parent, changes, sampleOrigin(std::string(name) + std::to_string(attempt))).value();
            for (auto index = size_t { 0 }; index < next->chunks.size(); ++index)
                (void)bench.destination.compareAndSwap(chunkKey(next->manifest.chunks[index]), 0, *next->chunks[index], bench.now + seconds(5));
            (void)bench.destination.compareAndSwap(manifestKey(next->header.manifest), 0, encodeManifest(next->manifest), bench.now + seconds(5));
            (void)bench.destination.compareAndSwap(recordKey(parent->id.number), 0, head->record.bytes, bench.now + seconds(5));
            bench.destination.beforeNextWrite(headKey, [&] { bench.destination.state().faults.lostReplies = attempt == 0 ? 1 : 0; });
            ++writes;
            if (codeOf([&] { return bench.destination.compareAndSwap(headKey, head->modRevision, next->recent.back()->bytes, bench.now + seconds(5)); }) == result_code::Ok)
                break;
        }
        return writes;
    }

} // namespace

TEST_CASE("a change is accepted, comes back from the store and is part of the history")
{
    auto bench = writer_bench();
    auto accepted = bench.apply(withRate(bench.registerText, "x", 5), std::nullopt, "x").value();
    CHECK(accepted.changes.size() == 1);
    CHECK(bench.rateOf("x") == "requests_per_second = 5\n");
    auto history = bench.makeWriter().history(10, bench.now + seconds(5)).value();
    REQUIRE(history.size() == 3);
    CHECK(history[0].header.note == "x");
    CHECK(history[2].id.number == 1);
    auto again = bench.apply(withRate(bench.registerText, "x", 5), std::nullopt, "again").value();
    CHECK(again.changes.empty());
    CHECK(bench.inForce()->id.number == 3);
}

TEST_CASE("a reply lost after the effect is settled by reading back; a naive writer makes the change twice")
{
    auto bench = writer_bench();
    bench.destination.beforeNextWrite(headKey, [&] { bench.destination.state().faults.lostReplies = 1; });
    auto accepted = bench.apply(withRate(bench.registerText, "x", 5), std::nullopt, "x").value();
    CHECK(bench.inForce()->id == accepted.revision->id);
    CHECK(bench.inForce()->id.number == 3);

    auto naive = writer_bench();
    CHECK(naiveApply(naive, { callerChange("x", 5) }, "x") == 2);
    CHECK(naive.inForce()->id.number == 4);
}

TEST_CASE("a lost reply is settled through the history when another operator has already built on the change")
{
    auto bench = writer_bench();
    auto other = std::function<void()> {};
    // The reply is lost; before the writer tries again, another operator's change follows on.
    bench.destination.beforeNextWrite(headKey, [&] {
        bench.destination.state().faults.lostReplies = 1;
        bench.destination.beforeNextWrite(headKey, [&] { bench.apply(withRate(withRate(bench.registerText, "x", 5), "y", 6), std::nullopt, "y").value(); });
    });
    auto accepted = bench.apply(withRate(bench.registerText, "x", 5), std::nullopt, "x").value();
    CHECK(accepted.commitRetries == 0);
    CHECK(accepted.revision->id.number == 3);
    CHECK(bench.inForce()->id.number == 4);
    CHECK(bench.rateOf("x") == "requests_per_second = 5\n");
    CHECK(bench.rateOf("y") == "requests_per_second = 6\n");
}

TEST_CASE("requests and replies lost anywhere never lose or double a change")
{
    for (auto lost = uint32_t { 0 }; lost < 6; ++lost) {
        for (auto isReply : { false, true }) {
            auto bench = writer_bench();
            (isReply ? bench.destination.state().faults.lostReplies : bench.destination.state().faults.lostRequests) = lost;
            bench.apply(withRate(bench.registerText, "x", 5), std::nullopt, "x").value();
            CHECK(bench.inForce()->id.number == 3);
            CHECK(bench.rateOf("x") == "requests_per_second = 5\n");
        }
    }
}

TEST_CASE("a slow store that writes after the caller gave up is settled too")
{
    auto bench = writer_bench();
    bench.destination.beforeNextWrite(headKey, [&] { bench.destination.state().faults.delay = seconds(6); });
    CHECK((codeOf([&] { return bench.apply(withRate(bench.registerText, "x", 5), std::nullopt, "x"); }) == result_code::StoreReplyLost));
    bench.destination.state().faults.delay = {};
    // The operator was told that it is open; the history tells.
    auto history = bench.makeWriter().history(1, bench.now + seconds(5)).value();
    CHECK(history[0].header.operationId == "operation-x");
    auto again = bench.apply(withRate(bench.registerText, "x", 5), std::nullopt, "again").value();
    CHECK(again.changes.empty());
}

TEST_CASE("during an outage no change is accepted, and the operator is told so")
{
    auto bench = writer_bench();
    bench.destination.state().faults.outageUntil = bench.now + minutes(180);
    CHECK((codeOf([&] { return bench.apply(withRate(bench.registerText, "x", 5), std::nullopt, "x"); }) == result_code::StoreUnavailable));
    bench.now = bench.now + minutes(181);
    CHECK(bench.rateOf("x") == "absent");
    bench.apply(withRate(bench.registerText, "x", 5), std::nullopt, "x").value();
    CHECK(bench.rateOf("x") == "requests_per_second = 5\n");
}

TEST_CASE("two operators who change different entries are both served")
{
    auto bench = writer_bench();
    auto base = bench.inForce()->id.number;
    bench.apply(withRate(bench.registerText, "theirs", 1), base, "theirs").value();
    auto mine = bench.apply(withRate(bench.registerText, "mine", 2), base, "mine").value();
    CHECK(mine.changes.size() == 1);
    CHECK(bench.rateOf("theirs") == "requests_per_second = 1\n");
    CHECK(bench.rateOf("mine") == "requests_per_second = 2\n");
    // Without the base, the same file would have taken the other operator's entry out.
    auto naive = writer_bench();
    naive.apply(withRate(naive.registerText, "theirs", 1), std::nullopt, "theirs").value();
    naive.apply(withRate(naive.registerText, "mine", 2), std::nullopt, "mine").value();
    CHECK(naive.rateOf("theirs") == "absent");
}

TEST_CASE("two operators who change the same entry: the second gets the three versions")
{
    auto bench = writer_bench();
    auto base = bench.inForce()->id.number;
    auto text = bench.registerText;
    auto withAgency = [&](std::string_view rate) {
        auto changed = text;
        changed.replace(changed.find("requests_per_second = 50"), 24, "requests_per_second = " + std::string(rate));
        return changed;
    };
    bench.apply(withAgency("60"), base, "theirs").value();
    auto faults = faultsOf([&] { return bench.apply(withAgency("70"), base, "mine"); }).faults;
    REQUIRE(faults.size() == 1);
    CHECK((faults[0].code == result_code::ConfigurationConflict));
    for (auto part : { "caller agency-1", "= 50", "= 60", "= 70" })
        CHECK(faults[0].message.find(part) != std::string::npos);
    CHECK(bench.rateOf("agency-1") == "requests_per_second = 60\n");
}

TEST_CASE("a change that is overtaken between read and write is merged, and leaves nothing behind")
{
    auto bench = writer_bench();
    auto base = bench.inForce()->id.number;
    bench.destination.beforeNextWrite(headKey, [&] { bench.apply(withRate(bench.registerText, "theirs", 1), base, "theirs").value(); });
    auto mine = bench.apply(withRate(bench.registerText, "mine", 2), base, "mine").value();
    CHECK(mine.commitRetries == 1);
    CHECK(bench.rateOf("theirs") == "requests_per_second = 1\n");
    CHECK(bench.rateOf("mine") == "requests_per_second = 2\n");
    // Head, records 1 to 3, and a manifest and a chunk for each of four revisions.
    CHECK(bench.destination.state().keyCount() == 1 + 3 + 4 + 4);
}

TEST_CASE("changes that are right each by itself and wrong together are refused")
{
    auto bench = writer_bench();
    auto base = bench.inForce()->id.number;
    auto withoutRoute = bench.registerText;
    withoutRoute.erase(withoutRoute.find("[route /fees]"), withoutRoute.find("[caller") - withoutRoute.find("[route /fees]"));
    auto withoutService = withoutRoute;
    withoutService.erase(withoutService.find("[service feeledger]\n"), 20);
    while (withoutService.find("[vm feeledger") != std::string::npos) {
        auto begin = withoutService.find("[vm feeledger");
        withoutService.erase(begin, withoutService.find('[', begin + 1) - begin);
    }
    bench.propose(config_document::Rules, "[service bookdesk]\nfloor = 70%\n", std::nullopt, "rules").value();
    bench.apply(withoutService, base, "service").value();
    auto extraRoute = bench.registerText + "[route /ledger]\nservice = feeledger\n";
    CHECK((codeOf([&] { return bench.apply(extraRoute, base, "route"); }) == result_code::ConfigurationInvalid));
}

TEST_CASE("rollback is a new revision with old content, and history is kept only so far")
{
    auto bench = writer_bench();
    for (auto rate = uint32_t { 1 }; rate <= 20; ++rate)
        bench.apply(withRate(bench.registerText, "x", rate), std::nullopt, "x" + std::to_string(rate)).value();
    auto keysNow = bench.destination.state().keyCount();
    auto before = bench.inForce();
    auto accepted = bench.makeWriter().rollBack(before->id.number - 3, sampleOrigin("back"), bench.now + seconds(30)).value();
    CHECK(accepted.revision->id.number == before->id.number + 1);
    CHECK(bench.rateOf("x") == "requests_per_second = 17\n");
    CHECK((codeOf([&] { return bench.makeWriter().rollBack(2, sampleOrigin("far"), bench.now + seconds(30)); }) == result_code::ConfigurationChunkMissing));
    // The number of keys does not grow with the number of revisions.
    for (auto rate = uint32_t { 21 }; rate <= 40; ++rate)
        bench.apply(withRate(bench.registerText, "x", rate), std::nullopt, "x" + std::to_string(rate)).value();
    CHECK(bench.destination.state().keyCount() == keysNow);
    CHECK(bench.makeWriter().history(100, bench.now + seconds(5)).value().size() == bench.limits.keptRevisions);
}

} // namespace gypsumhub
