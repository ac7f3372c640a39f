/// \file
/// Defines caller keys: only salted digests of them are kept.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::config {

/// What is known of one key. The raw key is `egd_ID_SECRET`; the id is no secret.
struct key_record {
    std::string id;
    std::string customer;
    std::string salt;
    /// SHA-256 of the salt followed by the raw key, in hexadecimal.
    std::string digest;

    bool operator==(const key_record&) const = default;
};

/// A key that was just made. The raw form is shown once and never stored.
struct new_key {
    key_record record;
    std::string raw;
};

/// All keys that work now. A withdrawn key is removed.
class key_set {
public:
    /// Returns the record of \p raw_key when the key works.
    [[nodiscard]] const key_record* find(std::string_view raw_key) const;
    [[nodiscard]] const key_record* find_id(std::string_view id) const;
    void add(key_record record);
    /// Returns whether the key existed.
    bool withdraw(std::string_view id);
    [[nodiscard]] const std::map<std::string, key_record, std::less<>>& records() const {
        return m_records;
    }

    bool operator==(const key_set&) const = default;

private:
    std::map<std::string, key_record, std::less<>> m_records;
};

/// Makes a key for \p customer from the operating system's random generator.
new_key make_key(std::string_view customer);

/// The JSON text under which keys are stored.
std::string keys_to_json(const key_set& keys);

/// Reads what keys_to_json() wrote; nothing when the text is malformed.
std::optional<key_set> keys_from_json(std::string_view text);

} // namespace eelgrassdoor::config
