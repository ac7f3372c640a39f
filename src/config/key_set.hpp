/// \file
/// Defines caller keys, of which only salted digests are stored.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::config {

/// The stored form of one key. The raw key is `egd_ID_SECRET`; the id is not secret.
struct key_record {
    std::string id;
    std::string customer;
    std::string salt;
    /// SHA-256 of the salt followed by the raw key, in hexadecimal.
    std::string digest;

    bool operator==(const key_record&) const = default;
};

/// A newly generated key. The raw form is shown once and never stored.
struct new_key {
    key_record record;
    std::string raw;
};

/// All valid keys, by id. Withdrawn keys are removed. Not thread-safe.
class key_set {
public:
    /// Returns the record of \p raw_key, or null when the key is not valid. The digest comparison
    /// takes constant time, so that it reveals nothing about the digest.
    [[nodiscard]] const key_record* find(std::string_view raw_key) const;
    /// Returns the record with this id, or null.
    [[nodiscard]] const key_record* find_by_id(std::string_view id) const;
    /// Adds a key, replacing one with the same id.
    void add(key_record record);
    /// Removes the key with this id. Returns whether it existed.
    bool withdraw(std::string_view id);
    /// All records by id.
    [[nodiscard]] const std::map<std::string, key_record, std::less<>>& records() const {
        return m_records;
    }

    bool operator==(const key_set&) const = default;

private:
    std::map<std::string, key_record, std::less<>> m_records;
};

/// Generates a key for \p customer with the operating system's random number generator.
new_key make_key(std::string_view customer);

/// Serializes keys as JSON for storage.
std::string keys_to_json(const key_set& keys);

/// Parses the output of keys_to_json(). Returns nothing when the text is malformed.
std::optional<key_set> keys_from_json(std::string_view text);

} // namespace eelgrassdoor::config
