#include "gypsumhub/decision/selection/poison_request_detector.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace gypsumhub {

namespace {

    constexpr auto quarantineCharges = 3U;
    constexpr auto suspectCharges = 2U;
    // A request that was in flight whenever targets crashed, so many times, is no bystander of outages.
    constexpr auto explainingMoments = 3U;
    // Header and padding of an allocated block.
    constexpr auto blockOverhead = 2 * sizeof(void*);

    auto bytesOfTable(size_t nodes, size_t buckets, size_t valueSize) -> size_t
    {
        return nodes * (valueSize + sizeof(void*) + blockOverhead) + buckets * sizeof(void*);
    }

    template <typename table>
    auto bytesOf(const table& given) -> size_t
    {
        return bytesOfTable(given.size(), given.bucket_count(), sizeof(typename table::value_type));
    }

    /// The table doubles its buckets when it has as many nodes.
    template <typename table>
    auto maxBytesOf(size_t nodes) -> size_t
    {
        return bytesOfTable(nodes, 2 * nodes, sizeof(typename table::value_type));
    }

} // namespace

auto poison_request_detector::crash_series::add(time_point at) -> void
{
    ++count;
    first = std::min(first, at);
    last = std::max(last, at);
}

auto poison_request_detector::findOrAddCrash(const crash_report& report, time_point now) -> crash*
{
    auto key = mixHashes(hashName(report.target), report.incarnation);
    auto known = std::find_if(m_crashes.begin(), m_crashes.end(), [&](auto& each) { return each.key == key; });
    // A peer's clock may be ahead.
    auto forgottenAt = std::min(report.at, now) + crashRetention;
    if (known != m_crashes.end()) {
        if (report.at < known->at) {
            known->at = report.at;
            known->forgottenAt = std::min(known->forgottenAt, forgottenAt);
            scheduleEvaluation(std::max(now, known->settledAt));
        }
        return &*known;
    }
    if (m_crashes.size() >= maxCrashes) {
        auto age = [](auto& each) { return std::tuple(each.at, each.key); };
        auto oldest = std::min_element(m_crashes.begin(), m_crashes.end(), [&](auto& a, auto& b) { return age(a) < age(b); });
        if (std::tuple(report.at, key) < age(*oldest))
            return nullptr;
        eraseCrash(oldest);
    }
    m_crashes.push_back({ key, hashName(report.service), report.at, now + settleTime, forgottenAt });
    scheduleEvaluation(now + settleTime);
    return &m_crashes.back();
}

auto poison_request_detector::eraseCrash(std::vector<crash>::iterator erased) -> void
{
    assignInFlight(*erased, {});
    *erased = std::move(m_crashes.back());
    m_crashes.pop_back();
}

auto poison_request_detector::assignInFlight(crash& changed, std::span<const request_fingerprint> requests) -> void
{
    auto assigned = std::vector<suspect*> {};
    assigned.reserve(requests.size());
    // Before the release, so that the evidence about requests that stay is kept.
    for (auto& fingerprint : requests) {
        assigned.push_back(&*m_evidence.try_emplace(fingerprint).first);
        ++assigned.back()->second.crashes;
    }
    for (auto* released : changed.inFlight) {
        if (--released->second.crashes == 0)
            m_evidence.erase(m_evidence.find(released->first));
    }
    changed.inFlight = std::move(assigned);
}

auto poison_request_detector::recordCrash(const crash_report& report, time_point now) -> void
{
    if (report.at + crashRetention <= now)
        return;
    auto* merged = findOrAddCrash(report, now);
    if (merged == nullptr)
        return;
    auto requests = std::vector<request_fingerprint> {};
    for (auto* known : merged->inFlight)
        requests.push_back(known->first);
    std::copy_if(report.inFlight.begin(), report.inFlight.end(), std::back_inserter(requests),
        [&](auto& fingerprint) { return !isProven(fingerprint, now); });
    std::sort(requests.begin(), requests.end());
    requests.erase(std::unique(requests.begin(), requests.end()), requests.end());
    if (requests.size() > maxRequestsPerCrash) {
        // The sample differs between crashes, so that no request is left out of all of them, and does not depend on the order of
        // the reports.
        auto rank = [&](auto& fingerprint) { return mixHashes(fingerprint.low ^ fingerprint.high, merged->key); };
        std::nth_element(requests.begin(), requests.begin() + maxRequestsPerCrash, requests.end(),
            [&](auto& a, auto& b) { return rank(a) < rank(b); });
        requests.resize(maxRequestsPerCrash);
        std::sort(requests.begin(), requests.end());
    }
    auto isSame = [](auto& fingerprint, auto* known) { return fingerprint == known->first; };
    if (std::equal(requests.begin(), requests.end(), merged->inFlight.begin(), merged->inFlight.end(), isSame))
        return;
    assignInFlight(*merged, requests);
    scheduleEvaluation(std::max(now, merged->settledAt));
}

auto poison_request_detector::recordSuccess(const request_fingerprint& fingerprint, time_point now) -> bool
{
    return exonerate(fingerprint, now);
}

auto poison_request_detector::recordExoneration(const request_fingerprint& fingerprint, time_point now) -> void
{
    exonerate(fingerprint, now);
}

auto poison_request_detector::exonerate(const request_fingerprint& fingerprint, time_point now) -> bool
{
    if (isQuarantined(fingerprint, now))
        return false;
    m_proven[fingerprint.low % provenSlots] = { fingerprint, now + provenTime };
    auto exonerated = m_evidence.find(fingerprint);
    if (exonerated == m_evidence.end())
        return false;
    for (auto& each : m_crashes)
        std::erase(each.inFlight, &*exonerated);
    m_evidence.erase(exonerated);
    scheduleEvaluation(now);
    return true;
}

auto poison_request_detector::recordQuarantine(const quarantined_request& told, time_point now) -> void
{
    auto known = m_quarantined.find(told.fingerprint);
    if (known == m_quarantined.end() || known->second + minExtension < told.until)
        quarantine(told.fingerprint, std::min(told.until, now + quarantineTime), now);
}

auto poison_request_detector::quarantine(const request_fingerprint& fingerprint, time_point until, time_point now) -> void
{
    if (until <= now)
        return;
    // Crash reports name it again, so that its crashes are not charged to others.
    if (isProven(fingerprint, now))
        m_proven[fingerprint.low % provenSlots] = {};
    auto& end = m_quarantined.try_emplace(fingerprint, until).first->second;
    end = std::max(end, until);
    if (m_quarantined.size() > maxQuarantined) {
        auto order = [](auto& each) { return std::tuple(each.second, each.first); };
        m_quarantined.erase(
            std::min_element(m_quarantined.begin(), m_quarantined.end(), [&](auto& a, auto& b) { return order(a) < order(b); }));
    }
}

auto poison_request_detector::isQuarantined(const request_fingerprint& fingerprint, time_point now) const -> bool
{
    auto known = m_quarantined.find(fingerprint);
    return known != m_quarantined.end() && now < known->second;
}

auto poison_request_detector::dropExpiredQuarantines(time_point now) -> void
{
    std::erase_if(m_quarantined, [&](auto& each) { return each.second <= now; });
}

auto poison_request_detector::isProven(const request_fingerprint& fingerprint, time_point now) const -> bool
{
    auto& slot = m_proven[fingerprint.low % provenSlots];
    return now < slot.until && slot.fingerprint == fingerprint;
}

auto poison_request_detector::quarantinedUntil(const request_fingerprint& fingerprint, time_point now) -> std::optional<time_point>
{
    evaluate(now);
    auto known = m_quarantined.find(fingerprint);
    if (known == m_quarantined.end())
        return std::nullopt;
    if (known->second <= now) {
        m_quarantined.erase(known);
        return std::nullopt;
    }
    known->second = now + quarantineTime;
    return known->second;
}

auto poison_request_detector::isSuspect(const request_fingerprint& fingerprint, time_point now) -> bool
{
    evaluate(now);
    auto known = m_evidence.find(fingerprint);
    return known != m_evidence.end() && known->second.charged.count >= suspectCharges;
}

auto poison_request_detector::quarantinedUntil(const request_identity& request, time_point now) -> std::optional<time_point>
{
    auto ofCaller = quarantinedUntil(request.ofCaller, now);
    auto ofAnyCaller = quarantinedUntil(request.ofAnyCaller, now);
    return std::max(ofCaller, ofAnyCaller);
}

auto poison_request_detector::isSuspect(const request_identity& request, time_point now) -> bool
{
    return isSuspect(request.ofCaller, now) || isSuspect(request.ofAnyCaller, now);
}

auto poison_request_detector::quarantined(time_point now) -> std::vector<quarantined_request>
{
    evaluate(now);
    dropExpiredQuarantines(now);
    auto all = std::vector<quarantined_request> {};
    for (auto& [fingerprint, until] : m_quarantined)
        all.push_back({ fingerprint, until });
    auto isNewer = [](auto& a, auto& b) { return std::tuple(b.until, b.fingerprint) < std::tuple(a.until, a.fingerprint); };
    std::sort(all.begin(), all.end(), isNewer);
    if (all.size() <= maxQuarantinedPerMessage)
        return all;
    // The order by fingerprint does not change when a quarantine is extended, so the rotation reaches all.
    auto rotating = all.begin() + maxQuarantinedPerMessage / 2;
    std::sort(rotating, all.end(), [](auto& a, auto& b) { return a.fingerprint < b.fingerprint; });
    auto next = std::find_if(rotating, all.end(), [&](auto& each) { return m_lastRotated < each.fingerprint; });
    std::rotate(rotating, next, all.end());
    all.resize(maxQuarantinedPerMessage);
    m_lastRotated = all.back().fingerprint;
    std::sort(all.begin(), all.end(), isNewer);
    return all;
}

auto poison_request_detector::scheduleEvaluation(time_point due) -> void
{
    m_evaluateAt = std::min(m_evaluateAt, std::max(due, m_nextEvaluationFrom));
}

auto poison_request_detector::evaluate(time_point now) -> void
{
    if (now < m_evaluateAt)
        return;
    for (auto index = m_crashes.size(); index-- > 0;) {
        if (m_crashes[index].forgottenAt <= now)
            eraseCrash(m_crashes.begin() + static_cast<std::ptrdiff_t>(index));
    }
    resetEvidence(now);
    findCommonCauses(now);
    // What is certain about one request tells which of the crashes beside it need another explanation.
    markExplained();
    findCommonCauses(now);
    assignCharges(now);
    for (auto& [fingerprint, known] : m_evidence) {
        if (known.charged.count >= quarantineCharges && known.charged.isSpread())
            quarantine(fingerprint, known.chargedUntil, now);
    }
    m_evaluateAt = never;
    m_nextEvaluationFrom = now + evaluationInterval;
    for (auto& each : m_crashes)
        scheduleEvaluation(now < each.settledAt ? each.settledAt : each.forgottenAt);
}

auto poison_request_detector::resetEvidence(time_point now) -> void
{
    for (auto& [fingerprint, known] : m_evidence)
        known = { .crashes = known.crashes, .isQuarantined = isQuarantined(fingerprint, now) };
    std::sort(m_crashes.begin(), m_crashes.end(), [](auto& a, auto& b) { return std::tuple(a.at, a.key) < std::tuple(b.at, b.key); });
    for (auto& each : m_crashes) {
        for (auto* found : each.inFlight) {
            auto& known = found->second;
            if (known.moments > 0 && each.at <= known.lastMoment + commonCauseTime)
                continue;
            ++known.moments;
            known.lastMoment = each.at;
        }
    }
    markExplained();
}

auto poison_request_detector::markExplained() -> void
{
    for (auto& each : m_crashes) {
        each.isExplained = std::any_of(each.inFlight.begin(), each.inFlight.end(), [](auto* found) {
            auto& known = found->second;
            return known.isQuarantined || known.chargeable.isSpread() || known.moments >= explainingMoments;
        });
    }
}

auto poison_request_detector::addToWindow(const crash& added) -> void
{
    if (added.isExplained)
        return;
    ++m_unexplainedInWindow;
    for (auto* known : added.inFlight)
        ++known->second.inWindow;
}

auto poison_request_detector::removeFromWindow(const crash& removed) -> void
{
    if (removed.isExplained)
        return;
    --m_unexplainedInWindow;
    for (auto* known : removed.inFlight)
        --known->second.inWindow;
}

auto poison_request_detector::findCommonCauses(time_point now) -> void
{
    for (auto& [fingerprint, known] : m_evidence)
        known.chargeable = {};
    auto ordered = std::vector<crash*> {};
    for (auto& each : m_crashes)
        ordered.push_back(&each);
    std::sort(ordered.begin(), ordered.end(),
        [](auto* a, auto* b) { return std::tuple(a->service, a->at) < std::tuple(b->service, b->at); });
    // A window of neighbours moves over the crashes of each service, so that each crash enters and leaves it once.
    auto head = ordered.begin(), tail = ordered.begin();
    for (auto* each : ordered) {
        for (; (*tail)->service != each->service || (*tail)->at + commonCauseTime < each->at; ++tail)
            removeFromWindow(**tail);
        for (; head != ordered.end() && (*head)->service == each->service && (*head)->at <= each->at + commonCauseTime; ++head)
            addToWindow(**head);
        each->chargeable = 0;
        for (auto index = size_t { 0 }; index < each->inFlight.size(); ++index) {
            auto& known = each->inFlight[index]->second;
            if (known.inWindow != m_unexplainedInWindow)
                continue;
            each->chargeable |= uint64_t { 1 } << index;
            if (each->settledAt <= now)
                known.chargeable.add(each->at);
        }
    }
    for (; tail != head; ++tail)
        removeFromWindow(**tail);
}

auto poison_request_detector::assignCharges(time_point now) -> void
{
    for (auto& each : m_crashes) {
        if (now < each.settledAt)
            continue;
        auto hasQuarantined = false;
        // The most likely cause. With as many crashes the content of one caller precedes the content alone.
        auto most = std::pair<uint32_t, bool> {};
        auto rank = [](auto* known) { return std::pair(known->second.chargeable.count, !known->first.isOfAnyCaller()); };
        for (auto* known : each.inFlight) {
            hasQuarantined = hasQuarantined || known->second.isQuarantined;
            most = std::max(most, rank(known));
        }
        for (auto index = size_t { 0 }; index < each.inFlight.size(); ++index) {
            auto& known = each.inFlight[index]->second;
            auto isMostLikely = hasQuarantined ? known.isQuarantined : rank(each.inFlight[index]) == most;
            if (!isMostLikely || (each.chargeable >> index & 1U) == 0)
                continue;
            known.charged.add(each.at);
            known.chargedUntil = std::max(known.chargedUntil, each.forgottenAt);
        }
    }
}

auto poison_request_detector::bytes() const -> size_t
{
    auto total = sizeof(*this) + m_proven.capacity() * sizeof(proven_slot) + m_crashes.capacity() * sizeof(crash);
    for (auto& each : m_crashes)
        total += blockOverhead + each.inFlight.capacity() * sizeof(suspect*);
    return total + bytesOf(m_evidence) + bytesOf(m_quarantined);
}

auto poison_request_detector::maxBytes() -> size_t
{
    auto perCrash = sizeof(crash) + blockOverhead + maxRequestsPerCrash * sizeof(suspect*);
    return sizeof(poison_request_detector) + provenSlots * sizeof(proven_slot) + maxCrashes * perCrash
        + maxBytesOf<decltype(m_evidence)>(maxCrashes * maxRequestsPerCrash) + maxBytesOf<decltype(m_quarantined)>(maxQuarantined);
}

} // namespace gypsumhub
