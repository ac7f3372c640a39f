#include "config/document.hpp"

#include "base/digest.hpp"
#include "config/sheet_parser.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassdoor::config {

namespace {

constexpr std::size_t max_kept_writers = 16;

nlohmann::json head_json(const head_record& head) {
    return {{"version", head.version},
            {"sheet_version", head.sheet_version},
            {"sheet_digest", head.sheet_digest},
            {"keys_digest", head.keys_digest},
            {"author", head.author},
            {"writers", head.writers}};
}

head_record head_of(const nlohmann::json& json) {
    return {json.at("version"),     json.at("sheet_version"), json.at("sheet_digest"),
            json.at("keys_digest"), json.at("author"),        json.at("writers")};
}

} // namespace

std::string to_json(const head_record& head) {
    return head_json(head).dump();
}

std::optional<head_record> head_from_json(std::string_view text) {
    try {
        return head_of(nlohmann::json::parse(text));
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

document_ptr build_document(const head_record& head, std::string_view sheet_text,
                            std::string_view keys_text) {
    if (sha256_hex(sheet_text) != head.sheet_digest || sha256_hex(keys_text) != head.keys_digest) {
        return nullptr;
    }
    sheet_result parsed = parse_sheet(sheet_text);
    std::optional<key_set> keys = keys_from_json(keys_text);
    if (!std::holds_alternative<sheet>(parsed) || !keys) {
        return nullptr;
    }
    return std::make_shared<const document>(document{
        head, std::string(sheet_text), std::get<sheet>(std::move(parsed)), *std::move(keys)});
}

std::string encode_document(const document& doc) {
    return nlohmann::json{
        {"head", head_json(doc.head)}, {"sheet", doc.sheet_text}, {"keys", keys_to_json(doc.keys)}}
        .dump();
}

document_ptr decode_document(std::string_view text) {
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        return build_document(head_of(json.at("head")), json.at("sheet").get<std::string>(),
                              json.at("keys").get<std::string>());
    } catch (const nlohmann::json::exception&) {
        return nullptr;
    }
}

head_record next_head(const head_record& before, std::string_view writer, std::string_view author) {
    head_record next = before;
    next.version = before.version + 1;
    next.author = author;
    next.writers.emplace_back(writer);
    if (next.writers.size() > max_kept_writers) {
        next.writers.erase(next.writers.begin());
    }
    return next;
}

} // namespace eelgrassdoor::config
