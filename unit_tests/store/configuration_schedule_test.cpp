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

    /// Operators and a reader on one store in virtual time, with several faults drawn from a seed.
    class schedule_bench {
    public:
        explicit schedule_bench(uint64_t seed)
            : m_random(seed)
        {
            m_writer.apply(proposalFrom(sampleEntries(), std::nullopt), m_now + seconds(30)).value();
            readAgain();
        }

        auto run() -> void
        {
            constexpr auto steps = 25;
            for (auto step = 0; step < steps; ++step) {
                drawFaults();
                if (m_random.below(2) == 0)
                    strikeHeadWrite();
                makeChange();
                m_source.beforeNextWrite({}, nullptr);
                readAgain();
            }
            m_source.state().faults = {};
            readAgain();
        }

        /// Operation ids of changes that were reported as accepted and are not in the history, or are there twice.
        auto lostOrDoubled() -> size_t
        {
            auto seen = std::map<std::string, int> {};
            auto history = m_writer.history(1000, m_now + seconds(60)).value();
            for (auto& record : history)
                ++seen[record.header.note];
            auto isWrong = [&](auto& note) { return seen[note] != 1; };
            auto refusedYetThere = std::ranges::count_if(m_refused, [&](auto& note) { return seen.contains(note); });
            return static_cast<size_t>(std::ranges::count_if(m_accepted, isWrong) + refusedYetThere);
        }

        auto revisionRegressions() const -> int { return m_revisionRegressions; }
        auto acceptedCount() const -> size_t { return m_accepted.size(); }
        auto openCount() const -> int { return m_open; }

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

        /// Right at the head's write: its reply or the request is lost, another operator's change comes first, or the reply
        /// is lost and another operator builds on the change before the writer asks again.
        auto strikeHeadWrite() -> void
        {
            auto kind = m_random.below(4);
            m_source.beforeNextWrite("gypsumhub/head", [this, kind] {
                auto& faults = m_source.state().faults;
                faults.lostReplies = kind == 0 || kind == 3;
                faults.lostRequests = kind == 1;
                if (kind == 3)
                    m_source.beforeNextWrite("gypsumhub/head", [this] { overtake(); });
                if (kind == 2)
                    overtake();
            });
        }

        auto overtake() -> void
        {
            auto faults = std::exchange(m_source.state().faults, {});
            makeChange();
            m_source.state().faults = faults;
        }

        /// One operator edits the revision that the reader holds, which may be old, in one entry.
        auto makeChange() -> void
        {
            auto held = m_held;
            auto changes = std::vector { callerChange("c" + std::to_string(m_random.below(entryCount)), static_cast<uint32_t>(1 + m_random.below(1000))) };
            auto desired = applyChanges(held->entries().value(), changes);
            auto proposal = proposalFrom(std::move(desired), held->id.number);
            auto outcome = catchFaults<accepted_change>([&] { return m_writer.apply(proposal, m_now + seconds(20)); });
            // A change to what is there already makes no revision.
            if (outcome.value && outcome.value->changes.empty())
                return;
            note(proposal.origin.note, outcome.code());
        }

        auto note(const std::string& change, result_code code) -> void
        {
            if (code == result_code::Ok)
                m_accepted.insert(change);
            else if (code == result_code::StoreReplyLost)
                ++m_open;
            else
                m_refused.insert(change);
        }

        auto readAgain() -> void
        {
            auto previous = m_held ? m_held->id.number : 0;
            (void)codeOf([&]() -> leaf::result<int> {
                BOOST_LEAF_ASSIGN(m_held, m_reader.loadNext(m_held, m_now + seconds(2), m_now + seconds(20)));
                return 0;
            });
            m_revisionRegressions += m_held && m_held->id.number < previous;
        }

        random_generator m_random;
        time_point m_now { time_point {} + seconds(1000) };
        fake_store m_source { m_now };
        configuration_writer m_writer { m_source, {}, clock() };
        configuration_loader m_reader { m_source };
        std::shared_ptr<const config_revision> m_held;
        std::set<std::string> m_accepted;
        std::set<std::string> m_refused;
        int m_open { 0 };
        int m_revisionRegressions { 0 };
        int m_operations { 0 };
    };

} // namespace

TEST_CASE("over seeded schedules of several faults at once, what is accepted stays, once, and what is refused is not there")
{
    constexpr auto schedules = uint64_t { 200 };
    auto accepted = size_t { 0 };
    auto open = 0;
    for (auto seed = uint64_t { 1 }; seed <= schedules; ++seed) {
        auto bench = schedule_bench(seed);
        bench.run();
        INFO("seed ", seed);
        REQUIRE(bench.lostOrDoubled() == 0);
        REQUIRE(bench.revisionRegressions() == 0);
        accepted += bench.acceptedCount();
        open += bench.openCount();
    }
    // The schedules must reach both ends, or they show nothing.
    CHECK(accepted > schedules * 10);
    CHECK(open > 0);
}

} // namespace gypsumhub
