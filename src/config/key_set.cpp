#include "config/key_set.hpp"

#include "base/digest.hpp"
#include "base/random_source.hpp"
#include "base/text.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassdoor::config {

namespace {

constexpr std::string_view key_prefix = "egd_";
constexpr int id_bytes = 6;
constexpr int secret_bytes = 24;
constexpr int salt_bytes = 8;

std::string salted_digest(std::string_view salt, std::string_view raw) {
    return sha256_hex(str_cat(salt, raw));
}

/// The public id inside a raw key, or an empty string when the prefix does not match.
std::string_view id_of(std::string_view raw) {
    if (!raw.starts_with(key_prefix)) {
        return {};
    }
    raw.remove_prefix(key_prefix.size());
    return raw.substr(0, std::min(raw.find('_'), raw.size()));
}

} // namespace

const key_record* key_set::find(std::string_view raw_key) const {
    const key_record* record = find_by_id(id_of(raw_key));
    if (record == nullptr) {
        return nullptr;
    }
    const bool matches = equal_constant_time(record->digest, salted_digest(record->salt, raw_key));
    return matches ? record : nullptr;
}

const key_record* key_set::find_by_id(std::string_view id) const {
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

void key_set::add(key_record record) {
    std::string id = record.id;
    m_records.insert_or_assign(std::move(id), std::move(record));
}

bool key_set::withdraw(std::string_view id) {
    const auto found = m_records.find(id);
    if (found == m_records.end()) {
        return false;
    }
    m_records.erase(found);
    return true;
}

new_key make_key(std::string_view customer) {
    const std::string id = secure_random_hex(id_bytes);
    const std::string salt = secure_random_hex(salt_bytes);
    const std::string raw = str_cat(key_prefix, id, "_", secure_random_hex(secret_bytes));
    return {{id, std::string(customer), salt, salted_digest(salt, raw)}, raw};
}

std::string keys_to_json(const key_set& keys) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [id, record] : keys.records()) {
        list.push_back({{"id", id},
                        {"customer", record.customer},
                        {"salt", record.salt},
                        {"digest", record.digest}});
    }
    return list.dump();
}

std::optional<key_set> keys_from_json(std::string_view text) {
    try {
        key_set out;
        for (const nlohmann::json& item : nlohmann::json::parse(text)) {
            out.add({item.at("id"), item.at("customer"), item.at("salt"), item.at("digest")});
        }
        return out;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace eelgrassdoor::config
