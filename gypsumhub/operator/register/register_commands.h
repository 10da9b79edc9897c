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

/// Random digits that no other operation has.
auto randomOperationId() -> std::string;

/// The operators' commands on the register and the rules, against one store. Each returns the text for standard output.
class register_commands {
public:
    struct settings {
        config_document document { config_document::Register };
        /// Who makes changes, for the history.
        std::string author;
        /// What a change is for; the file's name by default.
        std::string note {};
        /// Longest time for a whole command.
        duration limit { seconds(60) };
        configuration_writer::settings writer {};
        std::function<std::string()> newOperationId { randomOperationId };
    };

    /// `source` must outlive this object.
    register_commands(store& source, settings, store_clock);

    /// The document in force as INI. Its first line names the revision, so that `apply` knows what was edited.
    auto show() -> leaf::result<std::string>;
    /// Checks a file as a whole together with the other document in force; changes nothing.
    auto check(const std::string& path) -> leaf::result<std::string>;
    /// What putting the file in force would change.
    auto diff(const std::string& path) -> leaf::result<std::string>;
    /// Puts the file in force.
    auto apply(const std::string& path) -> leaf::result<std::string>;
    /// The latest revisions, newest first.
    auto history(uint32_t limit) -> leaf::result<std::string>;
    /// Makes a new revision with the content of an old one, register and rules.
    auto rollBack(uint64_t number) -> leaf::result<std::string>;
    /// The revision in force, register and rules, as a bundle to keep outside the store.
    auto bundle() -> leaf::result<std::string>;
    /// Puts the revision of a bundle back into a store that lost it.
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
