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

    /// A fake store in virtual time that contains the sample documents.
    struct writer_fixture {
        writer_fixture()
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

        auto headRevision() -> std::shared_ptr<const config_revision> { return configuration_loader(destination).load(nullptr, now + seconds(30)).value(); }

        auto rateOf(std::string_view caller) -> std::string { return headRevision()->find("register/caller " + std::string(caller)).value().value_or("absent"); }

        time_point now = time_point {} + seconds(1000);
        fake_store destination { now };
        configuration_writer::settings limits { 5 };
        std::string registerText = sampleRegisterText();
    };

    auto withRate(std::string text, std::string_view name, uint32_t rate) -> std::string
    {
        return text + "[caller " + std::string(name) + "]\nrequests_per_second = " + std::to_string(rate) + "\n";
    }

    /// A writer that does not determine the outcome of a lost reply: it treats it as a failure and applies the change again.
    auto naiveApply(writer_fixture& fixture, const std::vector<entry_change>& changes, std::string_view name) -> int
    {
        auto writes = 0;
        for (auto attempt = 0; attempt < 5; ++attempt) {
            auto parent = fixture.headRevision();
            auto head = configuration_loader(fixture.destination).readHead(fixture.now + seconds(5)).value();
            auto next = makeRevision(parent, changes, sampleOrigin(std::string(name) + std::to_string(attempt))).value();
            for (auto index = size_t { 0 }; index < next->chunks.size(); ++index)
                (void)fixture.destination.compareAndSwap(chunkKey(next->manifest.chunks[index]), 0, *next->chunks[index], fixture.now + seconds(5));
            (void)fixture.destination.compareAndSwap(manifestKey(next->header.manifest), 0, encodeManifest(next->manifest), fixture.now + seconds(5));
            (void)fixture.destination.compareAndSwap(recordKey(parent->id.number), 0, head->record.bytes, fixture.now + seconds(5));
            fixture.destination.beforeNextWrite(headKey, [&] { fixture.destination.state().faults.lostReplies = attempt == 0 ? 1 : 0; });
            ++writes;
            if (codeOf([&] { return fixture.destination.compareAndSwap(headKey, head->modRevision, next->recent.back()->bytes, fixture.now + seconds(5)); }) == result_code::Ok)
                break;
        }
        return writes;
    }

} // namespace

TEST_CASE("an accepted change can be read from the store and is in the history")
{
    auto fixture = writer_fixture();
    auto accepted = fixture.apply(withRate(fixture.registerText, "x", 5), std::nullopt, "x").value();
    CHECK(accepted.changes.size() == 1);
    CHECK(fixture.rateOf("x") == "requests_per_second = 5\n");
    auto history = fixture.makeWriter().history(10, fixture.now + seconds(5)).value();
    REQUIRE(history.size() == 3);
    CHECK(history[0].header.note == "x");
    CHECK(history[2].id.number == 1);
    auto again = fixture.apply(withRate(fixture.registerText, "x", 5), std::nullopt, "again").value();
    CHECK(again.changes.empty());
    CHECK(fixture.headRevision()->id.number == 3);
}

TEST_CASE("the outcome of a write with a lost reply is determined by reading back; a naive writer applies the change twice")
{
    auto fixture = writer_fixture();
    fixture.destination.beforeNextWrite(headKey, [&] { fixture.destination.state().faults.lostReplies = 1; });
    auto accepted = fixture.apply(withRate(fixture.registerText, "x", 5), std::nullopt, "x").value();
    CHECK(fixture.headRevision()->id == accepted.revision->id);
    CHECK(fixture.headRevision()->id.number == 3);

    auto naive = writer_fixture();
    CHECK(naiveApply(naive, { callerChange("x", 5) }, "x") == 2);
    CHECK(naive.headRevision()->id.number == 4);
}

TEST_CASE("the outcome of a write with a lost reply is found in the history when another operator has published a child since")
{
    auto fixture = writer_fixture();
    auto other = std::function<void()> {};
    // The reply is lost, and another operator's change is accepted before the writer retries.
    fixture.destination.beforeNextWrite(headKey, [&] {
        fixture.destination.state().faults.lostReplies = 1;
        fixture.destination.beforeNextWrite(headKey, [&] { fixture.apply(withRate(withRate(fixture.registerText, "x", 5), "y", 6), std::nullopt, "y").value(); });
    });
    auto accepted = fixture.apply(withRate(fixture.registerText, "x", 5), std::nullopt, "x").value();
    CHECK(accepted.commitRetries == 0);
    CHECK(accepted.revision->id.number == 3);
    CHECK(fixture.headRevision()->id.number == 4);
    CHECK(fixture.rateOf("x") == "requests_per_second = 5\n");
    CHECK(fixture.rateOf("y") == "requests_per_second = 6\n");
}

TEST_CASE("lost requests and replies never lose or duplicate a change")
{
    for (auto lost = uint32_t { 0 }; lost < 6; ++lost) {
        for (auto isReply : { false, true }) {
            auto fixture = writer_fixture();
            (isReply ? fixture.destination.state().faults.lostReplies : fixture.destination.state().faults.lostRequests) = lost;
            fixture.apply(withRate(fixture.registerText, "x", 5), std::nullopt, "x").value();
            CHECK(fixture.headRevision()->id.number == 3);
            CHECK(fixture.rateOf("x") == "requests_per_second = 5\n");
        }
    }
}

TEST_CASE("the history shows whether a write took effect that a slow store executed after the deadline")
{
    auto fixture = writer_fixture();
    fixture.destination.beforeNextWrite(headKey, [&] { fixture.destination.state().faults.delay = seconds(6); });
    CHECK((codeOf([&] { return fixture.apply(withRate(fixture.registerText, "x", 5), std::nullopt, "x"); }) == result_code::StoreReplyLost));
    fixture.destination.state().faults.delay = {};
    // The operator received an unknown outcome; the history shows the result.
    auto history = fixture.makeWriter().history(1, fixture.now + seconds(5)).value();
    CHECK(history[0].header.operationId == "operation-x");
    auto again = fixture.apply(withRate(fixture.registerText, "x", 5), std::nullopt, "again").value();
    CHECK(again.changes.empty());
}

TEST_CASE("during an outage no change is accepted, and the operator receives an error")
{
    auto fixture = writer_fixture();
    fixture.destination.state().faults.outageUntil = fixture.now + minutes(180);
    CHECK((codeOf([&] { return fixture.apply(withRate(fixture.registerText, "x", 5), std::nullopt, "x"); }) == result_code::StoreUnavailable));
    fixture.now = fixture.now + minutes(181);
    CHECK(fixture.rateOf("x") == "absent");
    fixture.apply(withRate(fixture.registerText, "x", 5), std::nullopt, "x").value();
    CHECK(fixture.rateOf("x") == "requests_per_second = 5\n");
}

TEST_CASE("concurrent changes of different entries are both accepted")
{
    auto fixture = writer_fixture();
    auto base = fixture.headRevision()->id.number;
    fixture.apply(withRate(fixture.registerText, "theirs", 1), base, "theirs").value();
    auto mine = fixture.apply(withRate(fixture.registerText, "mine", 2), base, "mine").value();
    CHECK(mine.changes.size() == 1);
    CHECK(fixture.rateOf("theirs") == "requests_per_second = 1\n");
    CHECK(fixture.rateOf("mine") == "requests_per_second = 2\n");
    // Without the base revision, the same file removes the other operator's entry.
    auto naive = writer_fixture();
    naive.apply(withRate(naive.registerText, "theirs", 1), std::nullopt, "theirs").value();
    naive.apply(withRate(naive.registerText, "mine", 2), std::nullopt, "mine").value();
    CHECK(naive.rateOf("theirs") == "absent");
}

TEST_CASE("with concurrent changes of the same entry, the second fails with a conflict that shows the three versions")
{
    auto fixture = writer_fixture();
    auto base = fixture.headRevision()->id.number;
    auto text = fixture.registerText;
    auto withAgency = [&](std::string_view rate) {
        auto changed = text;
        changed.replace(changed.find("requests_per_second = 50"), 24, "requests_per_second = " + std::string(rate));
        return changed;
    };
    fixture.apply(withAgency("60"), base, "theirs").value();
    auto faults = faultsOf([&] { return fixture.apply(withAgency("70"), base, "mine"); }).faults;
    REQUIRE(faults.size() == 1);
    CHECK((faults[0].code == result_code::ConfigurationConflict));
    for (auto part : { "caller agency-1", "= 50", "= 60", "= 70" })
        CHECK(faults[0].message.find(part) != std::string::npos);
    CHECK(fixture.rateOf("agency-1") == "requests_per_second = 60\n");
}

TEST_CASE("a change is merged when another one is accepted between its read and its write, and leaves no unused keys")
{
    auto fixture = writer_fixture();
    auto base = fixture.headRevision()->id.number;
    fixture.destination.beforeNextWrite(headKey, [&] { fixture.apply(withRate(fixture.registerText, "theirs", 1), base, "theirs").value(); });
    auto mine = fixture.apply(withRate(fixture.registerText, "mine", 2), base, "mine").value();
    CHECK(mine.commitRetries == 1);
    CHECK(fixture.rateOf("theirs") == "requests_per_second = 1\n");
    CHECK(fixture.rateOf("mine") == "requests_per_second = 2\n");
    // Head, records 1 to 3, and a manifest and a chunk for each of four revisions.
    CHECK(fixture.destination.state().keyCount() == 1 + 3 + 4 + 4);
}

TEST_CASE("changes that are valid separately but invalid together are refused")
{
    auto fixture = writer_fixture();
    auto base = fixture.headRevision()->id.number;
    auto withoutRoute = fixture.registerText;
    withoutRoute.erase(withoutRoute.find("[route /fees]"), withoutRoute.find("[caller") - withoutRoute.find("[route /fees]"));
    auto withoutService = withoutRoute;
    withoutService.erase(withoutService.find("[service feeledger]\n"), 20);
    while (withoutService.find("[vm feeledger") != std::string::npos) {
        auto begin = withoutService.find("[vm feeledger");
        withoutService.erase(begin, withoutService.find('[', begin + 1) - begin);
    }
    fixture.propose(config_document::Rules, "[service bookdesk]\nfloor = 70%\n", std::nullopt, "rules").value();
    fixture.apply(withoutService, base, "service").value();
    auto extraRoute = fixture.registerText + "[route /ledger]\nservice = feeledger\n";
    CHECK((codeOf([&] { return fixture.apply(extraRoute, base, "route"); }) == result_code::ConfigurationInvalid));
}

TEST_CASE("a rollback creates a new revision with old content, and the length of the history is bounded")
{
    auto fixture = writer_fixture();
    for (auto rate = uint32_t { 1 }; rate <= 20; ++rate)
        fixture.apply(withRate(fixture.registerText, "x", rate), std::nullopt, "x" + std::to_string(rate)).value();
    auto keysNow = fixture.destination.state().keyCount();
    auto before = fixture.headRevision();
    auto accepted = fixture.makeWriter().rollBack(before->id.number - 3, sampleOrigin("back"), fixture.now + seconds(30)).value();
    CHECK(accepted.revision->id.number == before->id.number + 1);
    CHECK(fixture.rateOf("x") == "requests_per_second = 17\n");
    CHECK((codeOf([&] { return fixture.makeWriter().rollBack(2, sampleOrigin("far"), fixture.now + seconds(30)); }) == result_code::ConfigurationChunkMissing));
    // The number of keys does not grow with the number of revisions.
    for (auto rate = uint32_t { 21 }; rate <= 40; ++rate)
        fixture.apply(withRate(fixture.registerText, "x", rate), std::nullopt, "x" + std::to_string(rate)).value();
    CHECK(fixture.destination.state().keyCount() == keysNow);
    CHECK(fixture.makeWriter().history(100, fixture.now + seconds(5)).value().size() == fixture.limits.keptRevisions);
}

} // namespace gypsumhub
