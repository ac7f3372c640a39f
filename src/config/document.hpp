/// \file
/// Defines the configuration document and the head record that names its current version.
#pragma once

#include "config/key_set.hpp"
#include "config/sheet.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::config {

/// The one record that says which configuration is in force.
struct head_record {
    std::uint64_t version = 0;
    /// The version at which the sheet changed last; later versions changed only keys.
    std::uint64_t sheet_version = 0;
    std::string sheet_digest;
    std::string keys_digest;
    /// Who made the change, for the time line.
    std::string author;
    /// Unique tokens of the latest writers, newest last: a writer whose answer was lost finds out
    /// whether its write took effect, even when others wrote after it.
    std::vector<std::string> writers;
};

/// A whole configuration: what a head record names.
struct document {
    head_record head;
    std::string sheet_text;
    sheet parsed;
    key_set keys;
};

using document_ptr = std::shared_ptr<const document>;

std::string to_json(const head_record& head);
std::optional<head_record> head_from_json(std::string_view text);

/// Builds a document from its parts; nothing when a body is malformed or has another digest.
document_ptr build_document(const head_record& head, std::string_view sheet_text,
                            std::string_view keys_text);

/// The text in which a document goes from daemon to daemon.
std::string encode_document(const document& doc);
document_ptr decode_document(std::string_view text);

/// The head that follows \p before: one version higher, with \p writer as newest writer.
head_record next_head(const head_record& before, std::string_view writer, std::string_view author);

} // namespace eelgrassdoor::config
