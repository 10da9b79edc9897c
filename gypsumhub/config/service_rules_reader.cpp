#include "gypsumhub/config/service_rules_reader.h"

#include <algorithm>
#include <array>
#include <utility>

namespace gypsumhub {

namespace {

    /// A preference and its name in the rules document.
    struct preference_row {
        ejection_preference preference;
        std::string_view name;
    };

    constexpr auto preferenceTable = std::to_array<preference_row>({
        { ejection_preference::FastDetection, "fast-detection" },
        { ejection_preference::Balanced, "balanced" },
        { ejection_preference::FewFalseEjections, "few-false-ejections" },
    });

    constexpr auto queueRange = number_range { 0, 65'536 };

    auto readPreference(section_reader& reader, ejection_preference fallback) -> ejection_preference
    {
        auto value = reader.text("preference");
        if (!value)
            return fallback;
        auto row = std::ranges::find(preferenceTable, *value, &preference_row::name);
        if (row != preferenceTable.end())
            return row->preference;
        reader.report("preference", "'" + *value + "' is not a valid value for 'preference'", "write fast-detection, balanced or few-false-ejections");
        return fallback;
    }

    auto isMethod(std::string_view text) -> bool
    {
        auto isCapital = [](char c) { return c >= 'A' && c <= 'Z'; };
        return text == "*" || (!text.empty() && std::ranges::all_of(text, isCapital));
    }

    auto readPatterns(section_reader& reader, std::vector<non_idempotent_pattern> fallback) -> std::vector<non_idempotent_pattern>
    {
        auto value = reader.text("non_idempotent");
        if (!value)
            return fallback;
        auto patterns = std::vector<non_idempotent_pattern> {};
        // "none" must be explicit, so that an empty value does not make every request retryable.
        if (*value == "none")
            return patterns;
        auto parts = splitList(*value);
        for (auto& part : parts) {
            auto blank = std::min(part.find(' '), part.size());
            auto method = part.substr(0, blank);
            auto path = part.substr(std::min(part.find_first_not_of(' ', blank), part.size()));
            if (isMethod(method) && path.starts_with('/') && path.find(' ') == std::string::npos)
                patterns.push_back({ std::move(method), std::move(path) });
            else
                reader.report("non_idempotent", "'" + part + "' is not a method with a path prefix", "write METHOD /PREFIX, such as POST /orders, or none");
        }
        if (parts.empty())
            reader.report("non_idempotent", "'non_idempotent' contains no pattern", "write METHOD /PREFIX, or none when every request may be retried");
        return patterns;
    }

} // namespace

auto readServiceRules(section_reader& reader) -> service_rules
{
    auto rules = service_rules {};
    rules.floorPercent = reader.percent("floor", rules.floorPercent);
    rules.preference = readPreference(reader, rules.preference);
    rules.nonIdempotent = readPatterns(reader, rules.nonIdempotent);
    rules.drainTimeout = reader.timeSpan("linger", rules.drainTimeout);
    rules.retryBudgetPercent = reader.percent("retry_budget", rules.retryBudgetPercent);
    rules.defaultDeadline = reader.timeSpan("default_deadline", rules.defaultDeadline);
    rules.queueLimit = reader.number("queue_limit", queueRange, rules.queueLimit);
    rules.hedging = reader.boolean("hedging", rules.hedging);
    return rules;
}

auto toString(ejection_preference preference) -> std::string_view
{
    return std::ranges::find(preferenceTable, preference, &preference_row::preference)->name;
}

} // namespace gypsumhub
