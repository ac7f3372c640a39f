/// \file
/// Defines access to the configuration in the key-value service.
#pragma once

#include "config/document.hpp"
#include "platform/kv_client.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrassdoor::platform {

/// A change that was based on an outdated version of the sheet.
struct change_conflict {
    /// The version in force.
    std::uint64_t current_version = 0;
    /// Differences from the sheet in force to the rejected one.
    std::vector<std::string> diff;
};

/// Reads and changes the configuration of the fleet with optimistic concurrency. Calls block like
/// those of kv_client and return its errors. They fail with error_code::internal when a stored
/// record is corrupt; changes fail with error_code::overloaded after 20 conflicts with concurrent
/// changes. Thread-safe.
class config_repository {
public:
    explicit config_repository(kv_client& kv) : m_kv(kv) {}

    /// Reads the head record; version 0 when there is none yet.
    result<config::head_record> read_head();
    /// Reads the document in force; null when there is none yet. Bodies whose digest has not
    /// changed since \p known, which may be null, are not read again.
    result<config::document_ptr> read(const config::document_ptr& known);

    /// Replaces the sheet when it has not changed since \p from_version; otherwise, also for a
    /// version that does not exist yet, returns the conflict. Fails with
    /// error_code::invalid_request when the sheet does not parse, and with run_state::unknown when
    /// it cannot be determined whether the change took effect.
    result<std::variant<config::document_ptr, change_conflict>>
    apply_sheet(std::uint64_t from_version, std::string_view sheet_text, std::string_view author);

    /// Changes the keys. \p change receives the current document and returns the new keys or an
    /// error, which is passed on; it is called again after a concurrent change. Fails with
    /// error_code::unavailable when there is no sheet yet.
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
