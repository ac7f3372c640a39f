/// \file
/// Defines how the configuration is read from and written to the key-value service.
#pragma once

#include "config/document.hpp"
#include "platform/kv_client.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrassdoor::platform {

/// A change that lost against another operator's, with what the winner changed.
struct change_conflict {
    std::uint64_t current_version = 0;
    std::vector<std::string> diff;
};

/// Reads and changes the one configuration. Thread-safe.
class config_repository {
public:
    explicit config_repository(kv_client& kv) : m_kv(kv) {}

    /// Reads the head record; version 0 when there is none yet.
    result<config::head_record> read_head();
    /// Reads the document in force; null when there is none yet. \p known saves reading a body
    /// whose digest it already has.
    result<config::document_ptr> read(const config::document_ptr& known);

    /// Puts a new sheet in force when the sheet has not changed since \p from_version; otherwise
    /// returns the conflict. Fails with run_state::unknown when the outcome cannot be found out.
    result<std::variant<config::document_ptr, change_conflict>>
    apply_sheet(std::uint64_t from_version, std::string_view sheet_text, std::string_view author);

    /// Changes the keys. \p change gets the current keys and returns the new ones or an error; it
    /// is called again when another change came in between.
    result<config::document_ptr>
    change_keys(const std::function<result<config::key_set>(const config::document&)>& change,
                std::string_view author);

private:
    struct versioned_document {
        config::document_ptr doc;
        std::int64_t revision = 0;
    };

    result<versioned_document> read_versioned(const config::document_ptr& known);
    result<std::string> read_body(std::string_view digest);
    result<std::string> write_body(std::string_view body);
    result<swap_outcome> swap_head(std::int64_t revision, const config::head_record& next);

    kv_client& m_kv;
};

} // namespace eelgrassdoor::platform
