#include "gypsumhub/config/revision_codec.h"

#include <boost/json.hpp>
#include <charconv>
#include <utility>

namespace gypsumhub {

namespace json = boost::json;

namespace {

    auto malformed(std::string_view what) -> leaf::error_id
    {
        return failWith({ result_code::ConfigurationInvalid, "the encoded " + std::string(what) + " is malformed" });
    }

    auto view(const json::string& text) -> std::string_view
    {
        return { text.data(), text.size() };
    }

    auto parse(std::string_view bytes) -> std::optional<json::value>
    {
        auto error = json::error_code {};
        auto value = json::parse(json::string_view(bytes.data(), bytes.size()), error);
        return error ? std::nullopt : std::optional(std::move(value));
    }

    auto textOf(const json::object& parent, std::string_view name) -> std::optional<std::string>
    {
        auto* value = parent.if_contains(name);
        auto* text = value ? value->if_string() : nullptr;
        return text ? std::optional(std::string(view(*text))) : std::nullopt;
    }

    auto hashOf(const json::object& parent, std::string_view name) -> std::optional<content_hash>
    {
        auto text = textOf(parent, name);
        return text ? parseHash(*text) : std::nullopt;
    }

    auto integerOf(const json::object& parent, std::string_view name) -> std::optional<int64_t>
    {
        auto* value = parent.if_contains(name);
        auto* number = value ? value->if_int64() : nullptr;
        return number ? std::optional(*number) : std::nullopt;
    }

    auto encodeHeader(const revision_header& header) -> std::string
    {
        auto object = json::object {};
        object["number"] = static_cast<int64_t>(header.number);
        object["parent"] = toHex(header.parent);
        object["operation"] = header.operationId;
        object["author"] = header.author;
        object["note"] = header.note;
        object["created_ns"] = header.createdAt.ns;
        object["manifest"] = toHex(header.manifest);
        object["delta"] = toHex(header.delta);
        return json::serialize(object);
    }

    auto decodeHeader(std::string_view bytes) -> std::optional<revision_header>
    {
        auto value = parse(bytes);
        auto* object = value ? value->if_object() : nullptr;
        if (!object)
            return std::nullopt;
        auto number = integerOf(*object, "number");
        auto parent = hashOf(*object, "parent");
        auto operation = textOf(*object, "operation");
        auto author = textOf(*object, "author");
        auto note = textOf(*object, "note");
        auto created = integerOf(*object, "created_ns");
        auto manifest = hashOf(*object, "manifest");
        auto delta = hashOf(*object, "delta");
        if (!number || *number <= 0 || !parent || !operation || !author || !note || !created || !manifest || !delta)
            return std::nullopt;
        return revision_header { static_cast<uint64_t>(*number), *parent, std::move(*operation), std::move(*author), std::move(*note), { *created }, *manifest, *delta };
    }

    auto encodeDelta(std::span<const entry_change> changes) -> std::string
    {
        auto array = json::array {};
        for (auto& change : changes) {
            array.emplace_back(change.key);
            array.emplace_back(change.body ? json::value(*change.body) : json::value(nullptr));
        }
        return json::serialize(array);
    }

    auto decodeDelta(std::string_view bytes) -> std::optional<std::vector<entry_change>>
    {
        auto value = parse(bytes);
        auto* array = value ? value->if_array() : nullptr;
        if (!array || array->size() % 2 != 0)
            return std::nullopt;
        auto changes = std::vector<entry_change> {};
        for (auto index = size_t { 0 }; index < array->size(); index += 2) {
            auto* key = (*array)[index].if_string();
            auto* body = (*array)[index + 1].if_string();
            if (!key || (!body && !(*array)[index + 1].is_null()))
                return std::nullopt;
            changes.push_back({ std::string(view(*key)), body ? std::optional(std::string(view(*body))) : std::nullopt });
        }
        return changes;
    }

} // namespace

auto encodeChunk(std::span<const configuration_entry> entries) -> std::string
{
    auto array = json::array {};
    array.reserve(entries.size() * 2);
    for (auto& entry : entries) {
        array.emplace_back(entry.key);
        array.emplace_back(entry.body);
    }
    return json::serialize(array);
}

auto decodeChunk(std::string_view bytes) -> leaf::result<std::vector<configuration_entry>>
{
    auto value = parse(bytes);
    auto* array = value ? value->if_array() : nullptr;
    if (!array || array->size() % 2 != 0)
        return malformed("chunk");
    auto entries = std::vector<configuration_entry> {};
    entries.reserve(array->size() / 2);
    for (auto index = size_t { 0 }; index < array->size(); index += 2) {
        auto* key = (*array)[index].if_string();
        auto* body = (*array)[index + 1].if_string();
        if (!key || !body || (!entries.empty() && entries.back().key >= view(*key)))
            return malformed("chunk");
        entries.push_back({ std::string(view(*key)), std::string(view(*body)) });
    }
    return entries;
}

auto encodeManifest(const chunk_manifest& manifest) -> std::string
{
    auto array = json::array {};
    array.reserve(manifest.chunks.size());
    for (auto& chunk : manifest.chunks)
        array.emplace_back(toHex(chunk.hash) + '.' + chunk.tag);
    return json::serialize(array);
}

auto decodeManifest(std::string_view bytes) -> leaf::result<chunk_manifest>
{
    constexpr auto hashDigits = size_t { 64 };
    auto value = parse(bytes);
    auto* array = value ? value->if_array() : nullptr;
    if (!array || array->empty())
        return malformed("manifest");
    auto manifest = chunk_manifest {};
    for (auto& item : *array) {
        auto* string = item.if_string();
        auto text = string ? view(*string) : std::string_view {};
        auto hash = parseHash(text.substr(0, hashDigits));
        if (!hash || text.size() < hashDigits + 2 || text[hashDigits] != '.')
            return malformed("manifest");
        manifest.chunks.push_back({ *hash, std::string(text.substr(hashDigits + 1)) });
    }
    return manifest;
}

auto makeRecord(revision_header header, std::span<const entry_change> changes) -> revision_record
{
    auto delta = encodeDelta(changes);
    auto isInline = delta.size() <= maxInlineDeltaBytes;
    header.delta = isInline ? hashContent(delta) : content_hash {};
    auto bytes = encodeHeader(header);
    auto id = revision_id { header.number, hashContent(bytes) };
    // Serialized JSON contains no line feed, so a line feed separates header and delta.
    if (isInline)
        bytes += '\n' + delta;
    auto record = revision_record { id, std::move(header), {}, std::move(bytes) };
    if (isInline)
        record.delta.emplace(changes.begin(), changes.end());
    return record;
}

auto decodeRecord(std::string_view bytes) -> leaf::result<revision_record>
{
    auto end = std::min(bytes.find('\n'), bytes.size());
    auto headerBytes = bytes.substr(0, end);
    auto header = decodeHeader(headerBytes);
    if (!header)
        return malformed("revision header");
    auto delta = std::optional<std::vector<entry_change>> {};
    if (end < bytes.size()) {
        auto deltaBytes = bytes.substr(end + 1);
        delta = decodeDelta(deltaBytes);
        if (!delta || hashContent(deltaBytes) != header->delta)
            return malformed("revision delta");
    } else if (header->delta != content_hash {}) {
        return malformed("revision record without its delta");
    }
    auto id = revision_id { header->number, hashContent(headerBytes) };
    return revision_record { id, std::move(*header), std::move(delta), std::string(bytes) };
}

} // namespace gypsumhub
