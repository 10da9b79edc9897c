#include "gypsumhub/config/gateway_settings_reader.h"

#include "gypsumhub/config/settings_sections.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace gypsumhub {

namespace {

    // A node reads the file while it serves: the time and memory that a file of any content takes is bounded.
    constexpr auto maxSettingsBytes = size_t { 64 * 1024 };

    // Data centre names contain no colon, so "NAME:REGION" is split at the first one.
    auto readDataCentres(section_reader& reader, gateway_settings& settings) -> void
    {
        auto text = reader.requiredText("data_centres", "write NAME:REGION, NAME:REGION, ...");
        for (auto& part : splitList(text)) {
            auto colon = part.find(':');
            if (colon == std::string::npos)
                reader.report("data_centres", "\"" + part + "\" has no region", "write NAME:REGION");
            else
                settings.dataCentres.emplace_back(part.substr(0, colon), part.substr(colon + 1));
        }
        auto isOwn = [&](auto& entry) { return entry.first == settings.dataCentre && entry.second == settings.region; };
        if (std::ranges::none_of(settings.dataCentres, isOwn))
            reader.report("data_centres", "the data centre and region of this node are not listed", "add " + settings.dataCentre + ":" + settings.region);
    }

    auto readDecimal(section_reader& reader, std::string_view key, double fallback) -> double
    {
        auto text = reader.text(key);
        if (!text)
            return fallback;
        auto value = double {};
        auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
        if (error == std::errc {} && end == text->data() + text->size() && std::isfinite(value) && value >= 0)
            return value;
        reader.report(key, "\"" + *text + "\" is not a decimal number of at least 0", "write a decimal number such as 0.2");
        return fallback;
    }

    auto readSize(section_reader& reader, node_size fallback) -> node_size
    {
        return { readDecimal(reader, "cores", fallback.cores), readDecimal(reader, "link", fallback.linkMegabits) };
    }

    auto readGateway(section_reader& reader, gateway_settings& settings) -> void
    {
        settings.name = reader.requiredText("name", "write the node's name");
        settings.dataCentre = reader.requiredText("data_centre", "write the data centre's name");
        settings.region = reader.requiredText("region", "write the region's name");
        readDataCentres(reader, settings);
        settings.callerAddress = reader.requiredAddress("caller_address");
        settings.readinessAddress = reader.requiredAddress("readiness_address");
        settings.directoryAddress = reader.requiredAddress("directory_address");
        settings.peerAddress = reader.requiredAddress("peer_address");
        settings.metricsAddress = reader.address("metrics_address").value_or(endpoint {});
        settings.stopLimit = reader.timeSpan("stop_limit", settings.stopLimit);
        settings.size = readSize(reader, settings.size);
        settings.memoryMegabytes = reader.number("memory", { 32, 1'000'000 }, settings.memoryMegabytes);
    }

    auto readStore(section_reader& reader, gateway_settings& settings) -> void
    {
        settings.storeAddress = reader.requiredAddress("address");
        settings.shortestLease = reader.timeSpan("shortest_lease", settings.shortestLease);
    }

    auto readRetryBudget(section_reader& reader, gateway_settings& settings) -> void
    {
        settings.retryShare = readDecimal(reader, "share", settings.retryShare);
        settings.retryReserve = readDecimal(reader, "reserve", settings.retryReserve);
        settings.retryWindow = reader.timeSpan("window", settings.retryWindow);
    }

    auto readDirectory(section_reader& reader, gateway_settings& settings) -> void
    {
        settings.directoryLifetime = reader.timeSpan("lifetime", settings.directoryLifetime);
        settings.directoryNodes = reader.number("nodes", { 1, 64 }, settings.directoryNodes);
        settings.directorySize = readSize(reader, settings.directorySize);
    }

    /// A key of section [selection] and the weight that it sets.
    struct weight_row {
        std::string_view key;
        double selection_settings::*value;
    };

    constexpr auto weightRows = std::to_array<weight_row>({
        { "other_data_centre", &selection_settings::otherDataCentreLoss },
        { "other_region", &selection_settings::otherRegionLoss },
        { "full_load", &selection_settings::fullLoadLoss },
        { "warming_up", &selection_settings::warmingUpLoss },
        { "twice_as_slow", &selection_settings::twiceAsSlowLoss },
        { "missed_target", &selection_settings::missedTargetLoss },
        { "repeatable_loss", &selection_settings::retryableLoss },
        { "turn", &selection_settings::explorationBonus },
        { "worth_waiting", &selection_settings::waitMargin },
    });

    auto readSelection(section_reader& reader, gateway_settings& settings) -> void
    {
        for (auto& row : weightRows)
            settings.selection.*row.value = readDecimal(reader, row.key, settings.selection.*row.value);
        settings.selection.fewSlots = reader.number("few_slots", { 0, 64 }, settings.selection.fewSlots);
    }

    auto readCustomers(section_reader& reader, gateway_settings& settings) -> void
    {
        auto& customers = settings.customers;
        customers.revocationLimit = reader.timeSpan("revocation_limit", customers.revocationLimit);
        customers.limitWindow = reader.timeSpan("limit_window", customers.limitWindow);
        customers.limitOvershoot = readDecimal(reader, "limit_overshoot", customers.limitOvershoot);
        customers.limitSlack = readDecimal(reader, "limit_slack", customers.limitSlack);
    }

    auto readLogs(section_reader& reader, gateway_settings& settings) -> void
    {
        settings.logLinesPerSecond = reader.number("lines_per_second", { 1, 1'000'000 }, settings.logLinesPerSecond);
    }

    constexpr auto settingsSections = std::to_array<settings_section<gateway_settings>>({
        { "gateway", readGateway, true },
        { "store", readStore, true },
        { "repeats", readRetryBudget, false },
        { "directory", readDirectory, false },
        { "selection", readSelection, false },
        { "customers", readCustomers, false },
        { "logs", readLogs, false },
    });

    auto buildGatewaySettings(const ini_document& document) -> leaf::result<gateway_settings>
    {
        auto settings = gateway_settings {};
        auto faults = fault_list {};
        readSettingsSections<gateway_settings>(document, settingsSections, settings, faults);
        if (faults.faults.empty())
            return settings;
        std::ranges::stable_sort(faults.faults, {}, &fault::line);
        return leaf::new_error(std::move(faults));
    }

} // namespace

auto parseGatewaySettings(std::string_view text, std::string_view file) -> leaf::result<gateway_settings>
{
    BOOST_LEAF_AUTO(document, parseIni(text, file, result_code::SettingsInvalid));
    return buildGatewaySettings(document);
}

auto readGatewaySettings(const std::string& path) -> leaf::result<gateway_settings>
{
    BOOST_LEAF_AUTO(document, readIni(path, result_code::SettingsInvalid, maxSettingsBytes));
    return buildGatewaySettings(document);
}

auto hasGatewaySection(const std::string& path) -> bool
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(document, readIni(path, result_code::SettingsInvalid));
            return std::ranges::find(document.sections, "gateway", &ini_section::kind) != document.sections.end();
        },
        // `readGatewaySettings` or `readNodeSettings`, called next, reports why the file cannot be read.
        [] { return false; });
}

} // namespace gypsumhub
