#include "gypsumhub/store/pacing_store.h"

#include "gypsumhub/store/caught_result.h"

#include <utility>
#include <variant>

namespace gypsumhub {

namespace {

    constexpr auto retryInterval = milliseconds(50);

    template <typename T, typename Call>
    auto callWhenAllowed(const store_clock& clock, time_point deadline, Call call) -> leaf::result<T>
    {
        while (true) {
            auto outcome = catchFaults<T>(call);
            if (outcome.value)
                return std::move(*outcome.value);
            if (outcome.code() != result_code::StoreBudgetSpent || clock.now() + retryInterval >= deadline)
                return leaf::new_error(std::move(outcome.faults));
            clock.waitUntil(clock.now() + retryInterval);
        }
    }

} // namespace

pacing_store::pacing_store(store& inner, store_clock clock)
    : m_inner(inner)
    , m_clock(std::move(clock))
{
}

auto pacing_store::get(std::string_view key, time_point deadline) -> leaf::result<std::optional<store_entry>>
{
    return callWhenAllowed<std::optional<store_entry>>(m_clock, deadline, [&] { return m_inner.get(key, deadline); });
}

auto pacing_store::compareAndSwap(std::string_view key, uint64_t expectedRevision, std::string_view value, time_point deadline) -> leaf::result<uint64_t>
{
    return callWhenAllowed<uint64_t>(m_clock, deadline, [&] { return m_inner.compareAndSwap(key, expectedRevision, value, deadline); });
}

auto pacing_store::remove(std::string_view key, time_point deadline) -> leaf::result<void>
{
    auto call = [&]() -> leaf::result<std::monostate> {
        BOOST_LEAF_CHECK(m_inner.remove(key, deadline));
        return std::monostate {};
    };
    BOOST_LEAF_CHECK(callWhenAllowed<std::monostate>(m_clock, deadline, call));
    return {};
}

auto pacing_store::acquireLease(std::string_view name, std::string_view holder, time_point validUntil, time_point deadline)
    -> leaf::result<std::optional<time_point>>
{
    return callWhenAllowed<std::optional<time_point>>(m_clock, deadline, [&] { return m_inner.acquireLease(name, holder, validUntil, deadline); });
}

auto pacing_store::watch(std::string_view key, uint64_t afterRevision, time_point deadline) -> leaf::result<std::optional<store_entry>>
{
    return callWhenAllowed<std::optional<store_entry>>(m_clock, deadline, [&] { return m_inner.watch(key, afterRevision, deadline); });
}

} // namespace gypsumhub
