#include "gypsumhub/config/ini_document.h"

#include <algorithm>
#include <fstream>
#include <ini.h>
#include <iterator>
#include <unordered_map>
#include <utility>

namespace gypsumhub {

namespace {

    /// Longest line that is taken; the library reserves three bytes more for the line's end.
    constexpr auto maxLineBytes = size_t { 4096 };
    /// The library cuts longer keys without a word.
    constexpr auto maxKeyBytes = size_t { 48 };

    auto trim(std::string_view text) -> std::string_view
    {
        constexpr auto blanks = std::string_view { " \t\r\n\v\f" };
        auto first = text.find_first_not_of(blanks);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    auto takePair(void* user, const char*, const char* key, const char* value) -> int
    {
        auto* pair = static_cast<ini_pair*>(user);
        pair->key = key;
        pair->value = value ? value : "";
        return 1;
    }

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
                takeLine(trim(text.substr(0, end + 1)), ++line);
                text.remove_prefix(end + 1);
            }
            if (!m_faults.faults.empty())
                return leaf::new_error(std::move(m_faults));
            return std::move(m_document);
        }

    private:
        auto takeLine(std::string_view text, uint32_t line) -> void
        {
            // A zero byte would end the text for the library, which reads C strings.
            if (text.find('\0') != std::string_view::npos)
                return report("the line contains a zero byte", line, "remove the byte");
            // Headers are taken here: the library cuts names at 49 characters and passes over sections without keys.
            if (text.starts_with('['))
                return takeHeader(text, line);
            if (text.size() > maxLineBytes && !text.starts_with('#') && !text.starts_with(';'))
                return report("the line is too long", line, "write at most " + std::to_string(maxLineBytes) + " characters a line");
            takePairLine(text, line);
        }

        auto takeHeader(std::string_view text, uint32_t line) -> void
        {
            auto close = text.find(']');
            auto tail = close == std::string_view::npos ? text : trim(text.substr(close + 1));
            if (!tail.empty() && !tail.starts_with(';') && !tail.starts_with('#')) {
                // Pairs below a broken header must not count for the section above it.
                m_skipping = true;
                return report("the section header cannot be read", line, "write [KIND] or [KIND NAME]");
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
                report("section [" + std::string(header) + "] is given twice", line, "merge it with line " + std::to_string(first->second));
            m_skipping = false;
            m_document.sections.push_back(std::move(section));
        }

        auto takePairLine(std::string_view text, uint32_t line) -> void
        {
            auto pair = ini_pair {};
            pair.line = line;
            if (ini_parse_string(std::string(text).c_str(), takePair, &pair) != 0)
                return report("the line is neither a section header nor a key with a value", line, "write KEY = VALUE, or begin a comment with #");
            if (pair.key.empty() || m_skipping)
                return;
            if (pair.key.size() > maxKeyBytes)
                return report("the key is too long", line, "write a known key");
            if (m_document.sections.empty())
                return report("key '" + pair.key + "' stands before the first section", line, "begin a section with [KIND NAME]");
            addPair(std::move(pair));
        }

        auto addPair(ini_pair pair) -> void
        {
            auto& pairs = m_document.sections.back().pairs;
            auto first = std::ranges::find(pairs, pair.key, &ini_pair::key);
            if (first != pairs.end())
                return report("key '" + pair.key + "' is given twice", pair.line, "keep this line or line " + std::to_string(first->line));
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
        bool m_skipping { false };
    };

} // namespace

auto parseIni(std::string_view text, std::string_view file, result_code code) -> leaf::result<ini_document>
{
    // The library's own limit of 200 bytes a line is too short for lists. It is process-wide, so it is set once.
    [[maybe_unused]] static const auto lineLimit = ini_max_line = static_cast<int>(maxLineBytes) + 3;
    // A byte order mark is not part of the first line.
    if (text.starts_with("\xef\xbb\xbf"))
        text.remove_prefix(3);
    return ini_parser(file, code).parse(text);
}

auto readIni(const std::string& path, result_code code) -> leaf::result<ini_document>
{
    auto stream = std::ifstream(path, std::ios::binary);
    if (!stream)
        return failWith({ result_code::FileUnreadable, "the file cannot be opened", path, 0, "check the path and its permissions" });
    auto text = std::string(std::istreambuf_iterator<char>(stream), {});
    if (stream.bad())
        return failWith({ result_code::FileUnreadable, "the file cannot be read", path, 0, "check the file" });
    return parseIni(text, path, code);
}

} // namespace gypsumhub
