#include "gypsumhub/config/revision_bundle.h"

#include "gypsumhub/config/revision_codec.h"

#include <boost/json.hpp>
#include <utility>

namespace gypsumhub {

namespace json = boost::json;

namespace {

    auto malformed() -> leaf::error_id
    {
        return failWith({ result_code::ConfigurationInvalid, "the bundle is malformed", {}, 0, "fetch it again from a running node" });
    }

    auto readStrings(const json::object& parent, std::string_view name) -> std::optional<std::vector<std::string>>
    {
        auto* value = parent.if_contains(name);
        auto* array = value ? value->if_array() : nullptr;
        if (!array)
            return std::nullopt;
        auto texts = std::vector<std::string> {};
        for (auto& item : *array) {
            auto* text = item.if_string();
            if (!text)
                return std::nullopt;
            texts.emplace_back(text->data(), text->size());
        }
        return texts;
    }

} // namespace

auto encodeBundle(const config_revision& revision) -> std::string
{
    auto records = json::array {};
    for (auto& record : revision.recent)
        records.emplace_back(json::string_view(record->bytes));
    auto chunks = json::array {};
    for (auto& chunk : revision.chunks)
        chunks.emplace_back(json::string_view(*chunk));
    auto bundle = json::object {};
    bundle["records"] = std::move(records);
    bundle["manifest"] = encodeManifest(revision.manifest);
    bundle["chunks"] = std::move(chunks);
    return json::serialize(bundle) + '\n';
}

auto decodeBundle(std::string_view text) -> leaf::result<std::shared_ptr<const config_revision>>
{
    auto error = json::error_code {};
    auto value = json::parse(json::string_view(text.data(), text.size()), error);
    auto* bundle = error ? nullptr : value.if_object();
    if (!bundle)
        return malformed();
    auto records = readStrings(*bundle, "records");
    auto chunkTexts = readStrings(*bundle, "chunks");
    auto* manifest = bundle->if_contains("manifest");
    auto* manifestText = manifest ? manifest->if_string() : nullptr;
    if (!records || records->empty() || !chunkTexts || !manifestText)
        return malformed();

    // The last record belongs to the revision itself. Each record must be the parent of the next one.
    auto recent = std::deque<std::shared_ptr<const revision_record>> {};
    for (auto& bytes : *records) {
        BOOST_LEAF_AUTO(record, decodeRecord(bytes));
        if (!recent.empty() && record.header.parent != recent.back()->id.hash)
            return malformed();
        recent.push_back(std::make_shared<const revision_record>(std::move(record)));
    }
    auto own = recent.back();
    recent.pop_back();
    auto chunks = std::vector<std::shared_ptr<const std::string>> {};
    for (auto& chunk : *chunkTexts)
        chunks.push_back(std::make_shared<const std::string>(std::move(chunk)));
    return assembleRevision(*own, { manifestText->data(), manifestText->size() }, std::move(chunks), std::move(recent));
}

} // namespace gypsumhub
