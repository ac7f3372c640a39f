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

/// The record that determines which configuration is in force.
struct head_record {
    /// Incremented by every change of the sheet or the keys.
    std::uint64_t version = 0;
    /// The version at which the sheet last changed; later versions changed only keys.
    std::uint64_t sheet_version = 0;
    /// SHA-256 of the sheet and of the keys, in hexadecimal.
    std::string sheet_digest;
    std::string keys_digest;
    /// The operator who made the change, for the timeline.
    std::string author;
    /// Unique tokens of the latest writers, newest last. A writer whose response was lost can tell
    /// from them whether its write took effect, even when others have written since.
    std::vector<std::string> writers;
};

/// A complete configuration, as identified by its head record.
struct document {
    head_record head;
    /// The sheet as CSV, which `sheet_digest` covers.
    std::string sheet_text;
    /// The parsed form of `sheet_text`.
    sheet parsed;
    key_set keys;
};

using document_ptr = std::shared_ptr<const document>;

/// Serializes a head record as JSON; head_from_json() returns nothing when the text is malformed.
std::string to_json(const head_record& head);
std::optional<head_record> head_from_json(std::string_view text);

/// Builds a document from its head record, the sheet as CSV and the keys as JSON. Returns null when
/// a text is malformed or does not match its digest in \p head.
document_ptr build_document(const head_record& head, std::string_view sheet_text,
                            std::string_view keys_text);

/// Serializes a document for transfer between daemons. decode_document() returns null when the text
/// is malformed or the sheet or the keys do not match their digests.
std::string encode_document(const document& doc);
document_ptr decode_document(std::string_view text);

/// The successor of \p before: one version higher, with \p writer as the newest of at most 16
/// writers. The sheet version and the digests are copied.
head_record next_head(const head_record& before, std::string_view writer, std::string_view author);

} // namespace eelgrassdoor::config
