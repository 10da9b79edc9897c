#pragma once

#include "gypsumhub/config/config_revision.h"
#include "gypsumhub/store/configuration_writer.h"
#include "gypsumhub/store/store.h"
#include "gypsumhub/store/store_clock.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Returns 32 random hexadecimal digits as the unique id of an operation.
auto randomOperationId() -> std::string;

/// Operator commands on one document, the register or the rules, in one store. Each returns the text for standard output.
class register_commands {
public:
    /// Document and author of the commands, and their limits.
    struct settings {
        config_document document { config_document::Register };
        /// Author of changes, for the history.
        std::string author;
        /// Purpose of a change, for the history. By default the path of the file, or the number of the revision rolled back to.
        std::string note {};
        /// Time limit of a whole command.
        duration limit { seconds(60) };
        configuration_writer::settings writer {};
        std::function<std::string()> newOperationId { randomOperationId };
    };

    /// `source` must outlive this object.
    register_commands(store& source, settings, store_clock);

    /// Returns the document in force as INI. Its first line names the revision, which `apply` uses as the base of a merge.
    auto show() -> leaf::result<std::string>;
    /// Validates a file together with the other document in force, without changing anything.
    auto check(const std::string& path) -> leaf::result<std::string>;
    /// Returns the changes that `apply` would make.
    auto diff(const std::string& path) -> leaf::result<std::string>;
    /// Commits the file as the document in force, merged with changes made since its base revision. A file without a base line
    /// replaces the document in force.
    auto apply(const std::string& path) -> leaf::result<std::string>;
    /// Lists the latest revisions, newest first.
    auto history(uint32_t limit) -> leaf::result<std::string>;
    /// Commits a new revision with the register and rules of an old one.
    auto rollBack(uint64_t number) -> leaf::result<std::string>;
    /// Returns the revision in force, register and rules, as a bundle for a backup outside the store.
    auto bundle() -> leaf::result<std::string>;
    /// Restores the revision of a bundle in a store that lost it.
    auto reinstate(const std::string& path) -> leaf::result<std::string>;

private:
    auto readProposal(const std::string& path) -> leaf::result<document_proposal>;
    auto checkDocument(const ini_document&, time_point deadline) -> leaf::result<void>;
    auto origin(const std::string& defaultNote) -> revision_origin;
    auto deadline() const -> time_point;

    store& m_store;
    settings m_settings;
    store_clock m_clock;
    configuration_writer m_writer;
};

} // namespace gypsumhub
