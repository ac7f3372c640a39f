#include "platform/config_repository.hpp"

#include "base/digest.hpp"
#include "base/random_source.hpp"
#include "base/text.hpp"
#include "config/sheet_parser.hpp"

#include <algorithm>
#include <optional>

namespace eelgrassdoor::platform {

namespace {

constexpr std::string_view head_key = "/eelgrassdoor/config/head";
constexpr std::string_view body_prefix = "/eelgrassdoor/config/body/";
constexpr int writer_token_bytes = 12;
/// Attempts of a change when other writers change the head at the same time.
constexpr int max_update_attempts = 20;

std::string body_key(std::string_view digest) {
    return str_cat(body_prefix, digest);
}

error corrupt_record(std::string_view what) {
    return {error_code::internal, str_cat("the stored ", what, " is corrupt"), run_state::not_run};
}

} // namespace

result<config::head_record> config_repository::read_head() {
    BOOST_OUTCOME_TRY(value, m_kv.get(head_key));
    if (value.revision == 0) {
        return config::head_record{};
    }
    std::optional<config::head_record> head = config::head_from_json(value.value);
    if (!head) {
        return corrupt_record("configuration head");
    }
    return *std::move(head);
}

result<std::string> config_repository::read_body(std::string_view digest) {
    BOOST_OUTCOME_TRY(value, m_kv.get(body_key(digest)));
    if (value.revision == 0) {
        return corrupt_record("configuration body");
    }
    return std::move(value.value);
}

result<config_repository::versioned_document>
config_repository::read_versioned(const config::document_ptr& known) {
    BOOST_OUTCOME_TRY(value, m_kv.get(head_key));
    if (value.revision == 0) {
        return versioned_document{};
    }
    const std::optional<config::head_record> head = config::head_from_json(value.value);
    if (!head) {
        return corrupt_record("configuration head");
    }
    std::string sheet_text;
    std::string keys_text;
    if (known != nullptr && known->head.sheet_digest == head->sheet_digest) {
        sheet_text = known->sheet_text;
    } else {
        BOOST_OUTCOME_TRY(body, read_body(head->sheet_digest));
        sheet_text = std::move(body);
    }
    if (known != nullptr && known->head.keys_digest == head->keys_digest) {
        keys_text = config::keys_to_json(known->keys);
    } else {
        BOOST_OUTCOME_TRY(body, read_body(head->keys_digest));
        keys_text = std::move(body);
    }
    config::document_ptr doc = config::build_document(*head, sheet_text, keys_text);
    if (doc == nullptr) {
        return corrupt_record("configuration");
    }
    return versioned_document{std::move(doc), value.revision};
}

result<config::document_ptr> config_repository::read(const config::document_ptr& known) {
    BOOST_OUTCOME_TRY(current, read_versioned(known));
    return std::move(current.doc);
}

result<std::string> config_repository::write_body(std::string_view body) {
    const std::string digest = sha256_hex(body);
    // The key is the digest of the content, so every writer of this key writes the same value.
    const auto is_own_write = [&body](std::string_view found) { return found == body; };
    BOOST_OUTCOME_TRY(m_kv.compare_and_swap(body_key(digest), 0, body, is_own_write));
    return digest;
}

result<swap_outcome> config_repository::swap_head(std::int64_t revision,
                                                  const config::head_record& next) {
    const std::string& token = next.writers.back();
    return m_kv.compare_and_swap(
        head_key, revision, config::to_json(next), [&token](std::string_view found) {
            const std::optional<config::head_record> head = config::head_from_json(found);
            return head && std::ranges::find(head->writers, token) != head->writers.end();
        });
}

result<std::variant<config::document_ptr, change_conflict>>
config_repository::apply_sheet(std::uint64_t from_version, std::string_view sheet_text,
                               std::string_view author) {
    const config::sheet_result parsed = config::parse_sheet(sheet_text);
    if (const auto* findings = std::get_if<std::vector<finding>>(&parsed)) {
        return error{error_code::invalid_request, to_text(*findings), run_state::not_run};
    }
    BOOST_OUTCOME_TRY(sheet_digest, write_body(sheet_text));
    for (int attempt = 0; attempt < max_update_attempts; ++attempt) {
        BOOST_OUTCOME_TRY(current, read_versioned(nullptr));
        const bool first = current.doc == nullptr;
        const config::head_record before = first ? config::head_record{} : current.doc->head;
        // Versions since the last change of the sheet changed only keys and do not conflict.
        if (from_version < before.sheet_version || from_version > before.version) {
            const config::sheet empty;
            return change_conflict{before.version,
                                   config::diff_sheets(first ? empty : current.doc->parsed,
                                                       std::get<config::sheet>(parsed))};
        }
        config::head_record next =
            config::next_head(before, secure_random_hex(writer_token_bytes), author);
        next.sheet_digest = sheet_digest;
        next.sheet_version = next.version;
        const std::string keys_text =
            config::keys_to_json(first ? config::key_set{} : current.doc->keys);
        BOOST_OUTCOME_TRY(keys_digest, write_body(keys_text));
        next.keys_digest = keys_digest;
        BOOST_OUTCOME_TRY(outcome, swap_head(current.revision, next));
        if (outcome == swap_outcome::written) {
            return config::build_document(next, sheet_text, keys_text);
        }
    }
    return error{error_code::overloaded,
                 "too many concurrent changes of the configuration; try again", run_state::not_run,
                 seconds(1)};
}

result<config::document_ptr> config_repository::change_keys(
    const std::function<result<config::key_set>(const config::document&)>& change,
    std::string_view author) {
    const std::string token = secure_random_hex(writer_token_bytes);
    for (int attempt = 0; attempt < max_update_attempts; ++attempt) {
        BOOST_OUTCOME_TRY(current, read_versioned(nullptr));
        if (current.doc == nullptr) {
            return error{error_code::unavailable, "no sheet is in force yet", run_state::not_run,
                         seconds(5)};
        }
        BOOST_OUTCOME_TRY(keys, change(*current.doc));
        const std::string keys_text = config::keys_to_json(keys);
        config::head_record next = config::next_head(current.doc->head, token, author);
        BOOST_OUTCOME_TRY(keys_digest, write_body(keys_text));
        next.keys_digest = keys_digest;
        BOOST_OUTCOME_TRY(outcome, swap_head(current.revision, next));
        if (outcome == swap_outcome::written) {
            return config::build_document(next, current.doc->sheet_text, keys_text);
        }
    }
    return error{error_code::overloaded,
                 "too many concurrent changes of the configuration; try again", run_state::not_run,
                 seconds(1)};
}

} // namespace eelgrassdoor::platform
