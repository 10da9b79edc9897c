#include "gypsumhub/operator/register/register_commands.h"

#include "gypsumhub/config/configuration_builder.h"
#include "gypsumhub/config/revision_bundle.h"
#include "gypsumhub/operator/register/register_text.h"
#include "gypsumhub/store/caught_result.h"

#include <array>
#include <fstream>
#include <iterator>
#include <unistd.h>
#include <utility>

namespace gypsumhub {

namespace {

    auto readFile(const std::string& path) -> leaf::result<std::string>
    {
        auto stream = std::ifstream(path, std::ios::binary);
        if (!stream)
            return failWith({ result_code::FileUnreadable, "the file cannot be opened", path, 0, "check the path and its permissions" });
        return std::string(std::istreambuf_iterator<char>(stream), {});
    }

    auto isStoreFailure(result_code code) -> bool
    {
        return code == result_code::StoreUnavailable || code == result_code::StoreTimeout || code == result_code::StoreBudgetSpent;
    }

    /// Runs the function. If it fails because of the store, inserts a first fault that states the effect for the operator.
    template <typename T, typename Function>
    auto explainOutage(Function&& function) -> leaf::result<T>
    {
        auto outcome = catchFaults<T>(std::forward<Function>(function));
        if (outcome.value)
            return std::move(*outcome.value);
        auto code = outcome.code();
        if (isStoreFailure(code)) {
            auto summary = fault { code, "no change can be accepted while the configuration store does not respond; the configuration in force stays in force", {}, 0, "apply again when the store is available" };
            outcome.faults.faults.insert(outcome.faults.faults.begin(), std::move(summary));
        }
        return leaf::new_error(std::move(outcome.faults));
    }

} // namespace

auto randomOperationId() -> std::string
{
    auto bytes = content_hash {};
    [[maybe_unused]] auto failed = getentropy(bytes.bytes.data(), bytes.bytes.size());
    constexpr auto digits = size_t { 32 };
    return toHex(bytes).substr(0, digits);
}

register_commands::register_commands(store& source, settings options, store_clock clock)
    : m_store(source)
    , m_settings(std::move(options))
    , m_clock(clock)
    , m_writer(source, m_settings.writer, std::move(clock))
{
}

auto register_commands::deadline() const -> time_point
{
    return m_clock.now() + m_settings.limit;
}

auto register_commands::origin(const std::string& defaultNote) -> revision_origin
{
    return { m_settings.newOperationId(), m_settings.author, m_settings.note.empty() ? defaultNote : m_settings.note, m_clock.now() };
}

auto register_commands::show() -> leaf::result<std::string>
{
    auto loader = configuration_loader(m_store);
    BOOST_LEAF_AUTO(revision, loader.load(nullptr, deadline()));
    if (!revision)
        return formatBaseLine(m_settings.document, {});
    BOOST_LEAF_AUTO(entries, revision->entries());
    return formatDocument(m_settings.document, revision->id, entries);
}

auto register_commands::readProposal(const std::string& path) -> leaf::result<document_proposal>
{
    BOOST_LEAF_AUTO(text, readFile(path));
    BOOST_LEAF_AUTO(parsed, parseIni(text, path, result_code::ConfigurationInvalid));
    BOOST_LEAF_CHECK(checkDocument(parsed, deadline()));
    BOOST_LEAF_AUTO(base, readBaseLine(m_settings.document, text, path));
    return document_proposal { m_settings.document, toEntries(m_settings.document, parsed), base, origin(path) };
}

auto register_commands::checkDocument(const ini_document& parsed, time_point until) -> leaf::result<void>
{
    // Validates this document as read from the file, so that faults contain its line numbers, together with the other document that is
    // in force.
    auto builder = configuration_builder();
    for (auto& section : parsed.sections)
        builder.put(m_settings.document, section, parsed.file);
    auto loader = configuration_loader(m_store);
    BOOST_LEAF_AUTO(revision, loader.load(nullptr, until));
    auto entries = std::vector<configuration_entry> {};
    if (revision) {
        BOOST_LEAF_ASSIGN(entries, revision->entries());
    }
    for (auto& entry : entries) {
        BOOST_LEAF_AUTO(located, toSection(entry));
        if (located.document != m_settings.document)
            builder.put(located.document, std::move(located.section), entry.key + " in force");
    }
    BOOST_LEAF_CHECK(builder.build({}));
    return {};
}

auto register_commands::check(const std::string& path) -> leaf::result<std::string>
{
    BOOST_LEAF_AUTO(proposal, readProposal(path));
    return path + ": " + std::to_string(proposal.desired.size()) + " sections are valid\n";
}

auto register_commands::diff(const std::string& path) -> leaf::result<std::string>
{
    BOOST_LEAF_AUTO(proposal, readProposal(path));
    BOOST_LEAF_AUTO(planned, m_writer.dryRun(proposal, deadline()));
    return formatPlan(planned);
}

auto register_commands::apply(const std::string& path) -> leaf::result<std::string>
{
    return explainOutage<std::string>([&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(proposal, readProposal(path));
        BOOST_LEAF_AUTO(accepted, m_writer.apply(proposal, deadline()));
        return formatAccepted(accepted);
    });
}

auto register_commands::history(uint32_t limit) -> leaf::result<std::string>
{
    BOOST_LEAF_AUTO(records, m_writer.history(limit, deadline()));
    return formatHistory(records);
}

auto register_commands::rollBack(uint64_t number) -> leaf::result<std::string>
{
    return explainOutage<std::string>([&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(accepted, m_writer.rollBack(number, origin("rollback to " + std::to_string(number)), deadline()));
        return formatAccepted(accepted);
    });
}

auto register_commands::bundle() -> leaf::result<std::string>
{
    auto loader = configuration_loader(m_store);
    BOOST_LEAF_AUTO(revision, loader.load(nullptr, deadline()));
    if (!revision)
        return failWith({ result_code::ConfigurationChunkMissing, "no configuration is in force yet", {}, 0, "apply a register first" });
    return encodeBundle(*revision);
}

auto register_commands::reinstate(const std::string& path) -> leaf::result<std::string>
{
    return explainOutage<std::string>([&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(text, readFile(path));
        BOOST_LEAF_AUTO(revision, decodeBundle(text));
        BOOST_LEAF_CHECK(m_writer.reinstate(*revision, deadline()));
        return "revision " + std::to_string(revision->id.number) + " is the store's head again\n";
    });
}

} // namespace gypsumhub
