#include "fakes/fake_store.h"
#include "fakes/faults_of.h"
#include "fakes/sample_revisions.h"
#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/store/caught_result.h"
#include "gypsumhub/store/configuration_writer.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>

namespace gypsumhub {

namespace {

    constexpr auto entryCount = uint64_t { 6 };

    /// Operators and a reader use one store in virtual time, with several concurrent faults drawn from a seed.
    class schedule_fixture {
    public:
        explicit schedule_fixture(uint64_t seed)
            : m_random(seed)
        {
            m_writer.apply(proposalFrom(sampleEntries(), std::nullopt), m_now + seconds(30)).value();
            refreshReader();
        }

        auto run() -> void
        {
            constexpr auto steps = 25;
            for (auto step = 0; step < steps; ++step) {
                drawFaults();
                if (m_random.below(2) == 0)
                    injectHeadWriteFault();
                makeChange();
                m_source.beforeNextWrite({}, nullptr);
                refreshReader();
            }
            m_source.state().faults = {};
            refreshReader();
        }

        /// Number of changes that were reported as accepted and are not exactly once in the history, or that were refused and are in it.
        auto lostOrDuplicated() -> size_t
        {
            auto occurrences = std::map<std::string, int> {};
            auto history = m_writer.history(1000, m_now + seconds(60)).value();
            for (auto& record : history)
                ++occurrences[record.header.note];
            auto isWrong = [&](auto& note) { return occurrences[note] != 1; };
            auto refusedButPresent = std::ranges::count_if(m_refused, [&](auto& note) { return occurrences.contains(note); });
            return static_cast<size_t>(std::ranges::count_if(m_accepted, isWrong) + refusedButPresent);
        }

        auto regressions() const -> int { return m_regressions; }
        auto acceptedCount() const -> size_t { return m_accepted.size(); }
        auto unknownOutcomeCount() const -> int { return m_unknownOutcomes; }

    private:
        auto clock() -> store_clock
        {
            return { [this] { return m_now; }, [this](time_point instant) { m_now = std::max(m_now, instant); } };
        }

        static auto sampleEntries() -> std::vector<configuration_entry>
        {
            auto entries = std::vector<configuration_entry> {};
            for (auto& change : sampleChanges()) {
                if (change.key.starts_with("register/"))
                    entries.push_back({ change.key, *change.body });
            }
            return entries;
        }

        auto proposalFrom(std::vector<configuration_entry> desired, std::optional<uint64_t> base) -> document_proposal
        {
            auto note = "change-" + std::to_string(++m_operations);
            return { config_document::Register, std::move(desired), base, { "operation-" + note, "operator", note, m_now } };
        }

        auto drawFaults() -> void
        {
            auto& faults = m_source.state().faults;
            faults = {};
            faults.lostReplies = static_cast<uint32_t>(m_random.below(3));
            faults.lostRequests = static_cast<uint32_t>(m_random.below(3));
            faults.silentWatches = m_random.below(3) == 0;
            if (m_random.below(4) == 0)
                faults.delay = milliseconds(static_cast<int64_t>(m_random.below(8000)));
            if (m_random.below(5) == 0)
                faults.outageUntil = m_now + seconds(static_cast<int64_t>(m_random.below(60)));
        }

        /// Injects a fault into the next write of the head: its reply is lost, its request is lost, another operator's change is accepted first,
        /// or the reply is lost and another operator publishes a child before the writer retries.
        auto injectHeadWriteFault() -> void
        {
            auto kind = m_random.below(4);
            m_source.beforeNextWrite("gypsumhub/head", [this, kind] {
                auto& faults = m_source.state().faults;
                faults.lostReplies = kind == 0 || kind == 3;
                faults.lostRequests = kind == 1;
                if (kind == 3)
                    m_source.beforeNextWrite("gypsumhub/head", [this] { commitConcurrentChange(); });
                if (kind == 2)
                    commitConcurrentChange();
            });
        }

        auto commitConcurrentChange() -> void
        {
            auto faults = std::exchange(m_source.state().faults, {});
            makeChange();
            m_source.state().faults = faults;
        }

        /// An operator changes one entry of the reader's revision, which may be outdated.
        auto makeChange() -> void
        {
            auto current = m_current;
            auto changes = std::vector { callerChange("c" + std::to_string(m_random.below(entryCount)), static_cast<uint32_t>(1 + m_random.below(1000))) };
            auto desired = applyChanges(current->entries().value(), changes);
            auto proposal = proposalFrom(std::move(desired), current->id.number);
            auto outcome = catchFaults<accepted_change>([&] { return m_writer.apply(proposal, m_now + seconds(20)); });
            // A change to an equal value creates no revision.
            if (outcome.value && outcome.value->changes.empty())
                return;
            recordOutcome(proposal.origin.note, outcome.code());
        }

        auto recordOutcome(const std::string& change, result_code code) -> void
        {
            if (code == result_code::Ok)
                m_accepted.insert(change);
            else if (code == result_code::StoreReplyLost)
                ++m_unknownOutcomes;
            else
                m_refused.insert(change);
        }

        auto refreshReader() -> void
        {
            auto previous = m_current ? m_current->id.number : 0;
            (void)codeOf([&]() -> leaf::result<int> {
                BOOST_LEAF_ASSIGN(m_current, m_reader.loadNext(m_current, m_now + seconds(2), m_now + seconds(20)));
                return 0;
            });
            m_regressions += m_current && m_current->id.number < previous;
        }

        random_generator m_random;
        time_point m_now { time_point {} + seconds(1000) };
        fake_store m_source { m_now };
        configuration_writer m_writer { m_source, {}, clock() };
        configuration_loader m_reader { m_source };
        std::shared_ptr<const config_revision> m_current;
        std::set<std::string> m_accepted;
        std::set<std::string> m_refused;
        int m_unknownOutcomes { 0 };
        int m_regressions { 0 };
        int m_operations { 0 };
    };

} // namespace

TEST_CASE("over seeded schedules of concurrent faults, accepted changes are in the history exactly once and refused changes are not")
{
    constexpr auto schedules = uint64_t { 200 };
    auto accepted = size_t { 0 };
    auto unknownOutcomes = 0;
    for (auto seed = uint64_t { 1 }; seed <= schedules; ++seed) {
        auto fixture = schedule_fixture(seed);
        fixture.run();
        INFO("seed ", seed);
        REQUIRE(fixture.lostOrDuplicated() == 0);
        REQUIRE(fixture.regressions() == 0);
        accepted += fixture.acceptedCount();
        unknownOutcomes += fixture.unknownOutcomeCount();
    }
    // The test shows something only when the schedules produce both accepted changes and unknown outcomes.
    CHECK(accepted > schedules * 10);
    CHECK(unknownOutcomes > 0);
}

} // namespace gypsumhub
