#include "gypsumhub/decision/selection/cost_model.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    // Before the first sample: a mean of 250 ms with a 97th percentile of 0.8 s.
    constexpr auto priorMean = 0.25;
    constexpr auto priorSpread = 0.8;
    // Weight of a new sample in the offsets: 95 % of a change is followed within 48 samples.
    constexpr auto offsetWeight = 0.06;
    constexpr auto varianceWeight = 0.04;
    constexpr auto gainWeight = 0.04;
    constexpr auto errorWeight = 0.02;
    // Samples at which an offset and a variance count half.
    constexpr auto halfTrust = 4.0;
    // Fewer samples do not show whether an offset reduces the error.
    constexpr auto minSamplesOfUse = 8.0;
    // Share of the variance that an offset must explain. Below, the noise of the offset itself (3 % of the variance) is as large as its gain.
    constexpr auto minGainShare = 0.05;
    constexpr auto minVariance = 0.02;
    constexpr auto maxVariance = 1.5;
    // Bounds the effect of one sample far outside of the distribution, in standard deviations.
    constexpr auto maxDeviations = 2.5;
    constexpr auto minWork = milliseconds(1);

    auto hashText(std::string_view text, uint64_t seed) -> uint64_t
    {
        return hashBytes(std::as_bytes(std::span(text)), seed);
    }

    auto trustIn(double samples) -> double
    {
        return samples / (samples + halfTrust);
    }

    auto average(double& mean, double sample, double samples, double minWeight, double weight) -> void
    {
        mean += std::max(minWeight, 1 / (samples + 1)) * weight * (sample - mean);
    }

} // namespace

auto cost_model::prior() -> partial_estimate
{
    return { std::log(priorMean) - priorSpread * priorSpread / 2, priorSpread * priorSpread };
}

auto cost_model::serviceKey(std::string_view service) -> uint64_t
{
    return hashText(service, static_cast<uint64_t>(cost_level::Service));
}

auto cost_model::keysOf(const cost_features& features) -> std::array<level_key, 5>
{
    auto service = serviceKey(features.service);
    auto route = mixHashes(service, hashText(features.route, static_cast<uint64_t>(cost_level::Route)));
    auto keyOf = [&](cost_level level, uint64_t value) { return mixHashes(mixHashes(route, static_cast<uint64_t>(level)), value); };
    auto sizeClass = sizeClassOf(features.bodyBytes);
    return { { { cost_level::Service, service, true }, { cost_level::Route, route, !features.route.empty() },
        { cost_level::SizeClass, keyOf(cost_level::SizeClass, sizeClass), sizeClass > 0 },
        { cost_level::Segment, keyOf(cost_level::Segment, hashText(features.segment, 0)), !features.segment.empty() },
        { cost_level::Customer, keyOf(cost_level::Customer, hashText(features.customer, 0)), !features.customer.empty() } } };
}

auto cost_model::isUsed(const key_statistics& known, cost_level level, double variance) -> bool
{
    return level == cost_level::Service || (known.samples >= minSamplesOfUse && known.gain > minGainShare * variance);
}

auto cost_model::add(partial_estimate& made, const key_statistics& known, cost_level level) -> void
{
    if (known.samples == 0 || !isUsed(known, level, made.variance))
        return;
    auto trust = trustIn(known.samples);
    made.logarithm += known.offset * trust;
    made.variance += trust * (known.variance - made.variance);
    made.level = level;
}

auto cost_model::find(uint64_t key) const -> const key_statistics*
{
    auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : &*found->second;
}

auto cost_model::use(uint64_t key) -> key_statistics&
{
    auto found = m_keys.find(key);
    if (found != m_keys.end()) {
        m_byUse.splice(m_byUse.begin(), m_byUse, found->second);
        return m_byUse.front();
    }
    if (m_byUse.size() >= maxKeys) {
        m_keys.erase(m_byUse.back().key);
        m_byUse.pop_back();
        ++m_evictions;
    }
    m_byUse.push_front({ key });
    m_keys.emplace(key, m_byUse.begin());
    return m_byUse.front();
}

auto cost_model::estimate(const cost_features& features) const -> cost_estimate
{
    auto made = prior();
    for (auto& [level, key, applies] : keysOf(features)) {
        auto* known = applies ? find(key) : nullptr;
        if (known)
            add(made, *known, level);
    }
    return cost_estimate::fromLogarithm(made.logarithm, std::sqrt(std::clamp(made.variance, minVariance, maxVariance)), made.level);
}

auto cost_model::record(const cost_features& features, duration work, double weight) -> void
{
    auto sample = std::log(std::max(work, minWork).seconds());
    auto expected = estimate(features).logarithm();
    auto made = prior();
    for (auto& [level, key, applies] : keysOf(features)) {
        if (!applies)
            continue;
        auto& known = use(key);
        if (level == cost_level::Service)
            average(known.error, std::abs(sample - expected), known.samples, errorWeight, weight);
        auto residual = sample - made.logarithm;
        auto remaining = residual - known.offset * trustIn(known.samples);
        average(known.gain, residual * residual - remaining * remaining, known.samples + 1, gainWeight, weight);
        auto variance = known.samples == 0 ? made.variance : known.variance;
        auto limit = maxDeviations * maxDeviations * std::max(variance, minVariance);
        known.variance = variance;
        average(known.variance, std::min(remaining * remaining, limit), known.samples + halfTrust, varianceWeight, weight);
        average(known.offset, residual, known.samples, offsetWeight, weight);
        known.samples += weight;
        // The less specific keys explain to the next one only what they contribute to an estimate.
        add(made, known, level);
    }
}

auto cost_model::meanErrorFactor(std::string_view service) const -> double
{
    auto* known = find(serviceKey(service));
    return known ? std::exp(known->error) : 1;
}

} // namespace gypsumhub
