#include "jobs/result_size.hpp"

namespace eelgrassdoor::jobs {

namespace {

constexpr std::size_t control_character_bytes = 6;
constexpr std::size_t escaped_character_bytes = 2;
constexpr std::size_t replacement_bytes = 3;
/// Names and punctuation of a result in JSON.
constexpr std::size_t listed_field_bytes = 64;
/// Length and flags of one stored string, and of the fields of a fixed size beside it.
constexpr std::size_t stored_field_bytes = 16;

constexpr unsigned char first_printable = 0x20;
constexpr unsigned char first_non_ascii = 0x7f;

} // namespace

std::size_t listed_size(std::string_view text) {
    std::size_t bytes = 0;
    for (const char each : text) {
        const auto code = static_cast<unsigned char>(each);
        if (each == '"' || each == '\\' || each == '\n') {
            bytes += escaped_character_bytes;
        } else if (code < first_printable) {
            bytes += control_character_bytes;
        } else {
            bytes += code >= first_non_ascii ? replacement_bytes : 1;
        }
    }
    return bytes;
}

std::size_t listed_size(const serving::item_result& result) {
    return listed_field_bytes + listed_size(result.item) + listed_size(result.output);
}

std::size_t stored_size(const serving::item_result& result) {
    return 2 * stored_field_bytes + result.item.size() + result.output.size();
}

std::size_t stored_size(const serving::submitted_item& item) {
    std::size_t bytes =
        4 * stored_field_bytes + item.id.size() + item.path.size() + item.body.size();
    for (const net::http_header& header : item.headers.all()) {
        bytes += 2 * stored_field_bytes + header.name.size() + header.value.size();
    }
    return bytes;
}

} // namespace eelgrassdoor::jobs
