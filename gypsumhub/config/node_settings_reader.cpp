#include "gypsumhub/config/node_settings_reader.h"

#include "gypsumhub/config/settings_sections.h"

#include <algorithm>
#include <array>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto minKeyDigits = size_t { 32 };
    constexpr auto connectionRange = number_range { 1, 1'000'000 };
    constexpr auto byteRange = number_range { 1024, 1024 * 1024 * 1024 };

    auto readNode(section_reader& reader, node_settings& settings) -> void
    {
        settings.name = reader.requiredText("name", "write the node's name as in the register");
        settings.dataCentre = reader.requiredText("data_centre", "write the data centre's name as in the register");
        settings.callerAddress = reader.requiredAddress("caller_address");
        settings.peerAddress = reader.requiredAddress("peer_address");
        settings.operatorAddress = reader.requiredAddress("operator_address");
    }

    auto readStore(section_reader& reader, node_settings& settings) -> void
    {
        settings.storeAddresses = reader.addressList("addresses");
    }

    auto readVmList(section_reader& reader, node_settings& settings) -> void
    {
        settings.vmListAddress = reader.address("address").value_or(endpoint {});
    }

    auto isValidKey(std::string_view key) -> bool
    {
        constexpr auto digits = std::string_view { "0123456789abcdefABCDEF" };
        return key.size() >= minKeyDigits && key.find_first_not_of(digits) == std::string_view::npos;
    }

    auto readPeers(section_reader& reader, node_settings& settings) -> void
    {
        settings.seedPeers = reader.addressList("seeds");
        // During a key rotation two keys are valid. Each has its own setting, since the length of a line is limited.
        for (auto name : { "key", "previous_key" }) {
            auto key = reader.text(name);
            if (!key)
                continue;
            if (isValidKey(*key))
                settings.peerKeys.push_back(*key);
            else
                reader.report(name, std::string("the peer key '") + name + "' is too short or not hexadecimal", "write at least 32 hexadecimal digits");
        }
    }

    auto readLimits(section_reader& reader, node_settings& settings) -> void
    {
        settings.requestThreads = reader.number("request_threads", { 1, 256 }, settings.requestThreads);
        settings.maxConnections = reader.number("max_connections", connectionRange, settings.maxConnections);
        settings.maxHeaderBytes = reader.number("max_header_bytes", byteRange, settings.maxHeaderBytes);
        settings.maxBodyBytes = reader.number("max_body_bytes", byteRange, settings.maxBodyBytes);
        settings.bufferedAnswerBytes = reader.number("buffered_answer_bytes", byteRange, settings.bufferedAnswerBytes);
        settings.requestReadLimit = reader.timeSpan("request_read_limit", settings.requestReadLimit);
        settings.answerLifetime = reader.timeSpan("answer_lifetime", settings.answerLifetime);
        settings.stopLimit = reader.timeSpan("stop_limit", settings.stopLimit);
    }

    auto readLogs(section_reader& reader, node_settings& settings) -> void
    {
        settings.log = reader.text("log").value_or("");
        settings.spanLog = reader.text("span_log").value_or("");
    }

    constexpr auto settingsSections = std::to_array<settings_section<node_settings>>({
        { "node", readNode, true },
        { "store", readStore, false },
        { "list", readVmList, false },
        { "peers", readPeers, false },
        { "limits", readLimits, false },
        { "logs", readLogs, false },
    });

    auto report(fault_list& faults, const ini_document& document, uint32_t line, std::string message, std::string hint) -> void
    {
        faults.faults.push_back({ result_code::SettingsInvalid, std::move(message), document.file, line, std::move(hint) });
    }

    auto checkCombination(const ini_document& document, const node_settings& settings, fault_list& faults) -> void
    {
        if (settings.storeAddresses.empty() && settings.seedPeers.empty())
            report(faults, document, 0, "the node has no source for its configuration", "set addresses in [store], seeds in [peers], or both");
        auto& caller = settings.callerAddress;
        auto& peer = settings.peerAddress;
        if (!caller.address.empty() && (caller == peer || caller == settings.operatorAddress))
            report(faults, document, 0, "two listening addresses are equal", "give each of caller_address, peer_address and operator_address its own port");
        else if (!peer.address.empty() && peer == settings.operatorAddress)
            report(faults, document, 0, "two listening addresses are equal", "give each of peer_address and operator_address its own port");
    }

    auto buildNodeSettings(const ini_document& document) -> leaf::result<node_settings>
    {
        auto settings = node_settings {};
        auto faults = fault_list {};
        readSettingsSections<node_settings>(document, settingsSections, settings, faults);
        checkCombination(document, settings, faults);
        if (faults.faults.empty())
            return settings;
        std::ranges::stable_sort(faults.faults, {}, &fault::line);
        return leaf::new_error(std::move(faults));
    }

} // namespace

auto parseNodeSettings(std::string_view text, std::string_view file) -> leaf::result<node_settings>
{
    BOOST_LEAF_AUTO(document, parseIni(text, file, result_code::SettingsInvalid));
    return buildNodeSettings(document);
}

auto readNodeSettings(const std::string& path) -> leaf::result<node_settings>
{
    BOOST_LEAF_AUTO(document, readIni(path, result_code::SettingsInvalid));
    return buildNodeSettings(document);
}

} // namespace gypsumhub
