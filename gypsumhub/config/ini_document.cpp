#include "gypsumhub/config/ini_document.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <ini.h>
#include <istream>
#include <unordered_map>
#include <utility>

namespace gypsumhub {

namespace {

    /// Length limit of a line. The library reserves three more bytes for the end of the line.
    constexpr auto maxLineBytes = size_t { 4096 };
    /// The library truncates longer keys silently.
    constexpr auto maxKeyBytes = size_t { 48 };
    constexpr auto readBytes = size_t { 4096 };

    /// Stops when more than `maxBytes` have been read.
    auto readText(std::istream& stream, size_t maxBytes) -> std::string
    {
        auto text = std::string {};
        auto part = std::array<char, readBytes> {};
        // An iterator over the stream's buffer would throw what `read` reports by the state of the stream, such as that the file is a directory.
        while (text.size() <= maxBytes && (stream.read(part.data(), part.size()) || stream.gcount() > 0))
            text.append(part.data(), static_cast<size_t>(stream.gcount()));
        return text;
    }

    auto trim(std::string_view text) -> std::string_view
    {
        constexpr auto blanks = std::string_view { " \t\r\n\v\f" };
        auto first = text.find_first_not_of(blanks);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    auto storePair(void* user, const char*, const char* key, const char* value) -> int
    {
        auto* pair = static_cast<ini_pair*>(user);
        pair->key = key;
        pair->value = value ? value : "";
        return 1;
    }

    /// Splits INI text into lines, parses them and collects all faults. Used for one text.
    class ini_parser {
    public:
        ini_parser(std::string_view file, result_code code)
            : m_code(code)
        {
            m_document.file = file;
        }

        auto parse(std::string_view text) -> leaf::result<ini_document>
        {
            auto line = uint32_t { 0 };
            while (!text.empty()) {
                auto end = std::min(text.find('\n'), text.size() - 1);
                parseLine(trim(text.substr(0, end + 1)), ++line);
                text.remove_prefix(end + 1);
            }
            if (!m_faults.faults.empty())
                return leaf::new_error(std::move(m_faults));
            return std::move(m_document);
        }

    private:
        auto parseLine(std::string_view text, uint32_t line) -> void
        {
            // The library reads C strings, so a zero byte would end the text early.
            if (text.find('\0') != std::string_view::npos)
                return report("the line contains a zero byte", line, "remove the byte");
            // Headers are parsed here: the library truncates names to 49 characters and skips sections without keys.
            if (text.starts_with('['))
                return parseHeader(text, line);
            if (text.size() > maxLineBytes && !text.starts_with('#') && !text.starts_with(';'))
                return report("the line is too long", line, "write at most " + std::to_string(maxLineBytes) + " characters per line");
            parsePairLine(text, line);
        }

        auto parseHeader(std::string_view text, uint32_t line) -> void
        {
            auto close = text.find(']');
            auto tail = close == std::string_view::npos ? text : trim(text.substr(close + 1));
            if (!tail.empty() && !tail.starts_with(';') && !tail.starts_with('#')) {
                // Pairs below a malformed header must not be added to the section above it.
                m_skipsPairs = true;
                return report("the section header is malformed", line, "write [KIND] or [KIND NAME]");
            }
            auto header = trim(text.substr(1, close - 1));
            auto blank = header.find_first_of(" \t");
            auto section = ini_section {};
            section.kind = header.substr(0, blank);
            if (blank != std::string_view::npos)
                section.name = trim(header.substr(blank));
            section.line = line;
            auto [first, isNew] = m_headers.emplace(section.kind + ' ' + section.name, line);
            if (!isNew)
                report("section [" + std::string(header) + "] appears twice", line, "merge it with the section in line " + std::to_string(first->second));
            m_skipsPairs = false;
            m_document.sections.push_back(std::move(section));
        }

        auto parsePairLine(std::string_view text, uint32_t line) -> void
        {
            auto pair = ini_pair {};
            pair.line = line;
            if (ini_parse_string(std::string(text).c_str(), storePair, &pair) != 0)
                return report("the line is neither a section header nor a key with a value", line, "write KEY = VALUE, or begin a comment with #");
            if (pair.key.empty() || m_skipsPairs)
                return;
            if (pair.key.size() > maxKeyBytes)
                return report("the key is too long", line, "use a known key");
            if (m_document.sections.empty())
                return report("key '" + pair.key + "' appears before the first section", line, "begin a section with [KIND NAME]");
            addPair(std::move(pair));
        }

        auto addPair(ini_pair pair) -> void
        {
            auto& pairs = m_document.sections.back().pairs;
            auto first = std::ranges::find(pairs, pair.key, &ini_pair::key);
            if (first != pairs.end())
                return report("key '" + pair.key + "' appears twice in its section", pair.line, "keep either this line or line " + std::to_string(first->line));
            pairs.push_back(std::move(pair));
        }

        auto report(std::string message, uint32_t line, std::string hint) -> void
        {
            m_faults.faults.push_back({ m_code, std::move(message), m_document.file, line, std::move(hint) });
        }

        result_code m_code;
        ini_document m_document;
        fault_list m_faults;
        std::unordered_map<std::string, uint32_t> m_headers;
        bool m_skipsPairs { false };
    };

} // namespace

auto parseIni(std::string_view text, std::string_view file, result_code code) -> leaf::result<ini_document>
{
    // The library's default limit of 200 bytes per line is too short for lists. The limit is process-wide, so it is set once.
    [[maybe_unused]] static const auto lineLimit = ini_max_line = static_cast<int>(maxLineBytes) + 3;
    // A byte order mark is not part of the first line.
    if (text.starts_with("\xef\xbb\xbf"))
        text.remove_prefix(3);
    return ini_parser(file, code).parse(text);
}

auto readIni(const std::string& path, result_code code, size_t maxBytes) -> leaf::result<ini_document>
{
    auto stream = std::ifstream(path, std::ios::binary);
    if (!stream)
        return failWith({ result_code::FileUnreadable, "the file cannot be opened", path, 0, "check the path and its permissions" });
    auto text = readText(stream, maxBytes);
    if (stream.bad())
        return failWith({ result_code::FileUnreadable, "the file cannot be read", path, 0, "check the file" });
    if (text.size() > maxBytes)
        return failWith({ result_code::FileUnreadable, "the file is too large", path, 0, "write at most " + std::to_string(maxBytes) + " bytes" });
    return parseIni(text, path, code);
}

} // namespace gypsumhub
