#include "base/text.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>

#include <algorithm>

namespace eelgrassdoor {

std::string_view strip(std::string_view text) {
    const absl::string_view out = absl::StripAsciiWhitespace(to_absl(text));
    return {out.data(), out.size()};
}

bool consume_prefix(std::string_view& text, std::string_view prefix) {
    if (!text.starts_with(prefix)) {
        return false;
    }
    text.remove_prefix(prefix.size());
    return true;
}

std::vector<std::string_view> split(std::string_view text, char separator) {
    std::vector<std::string_view> out;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        if (end > 0) {
            out.push_back(text.substr(0, end));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return out;
}

std::string to_hex(std::string_view bytes) {
    return absl::BytesToHexString(to_absl(bytes));
}

std::string to_base64(std::string_view bytes) {
    return absl::Base64Escape(to_absl(bytes));
}

std::string from_base64(std::string_view text) {
    std::string out;
    if (!absl::Base64Unescape(to_absl(text), &out)) {
        out.clear();
    }
    return out;
}

} // namespace eelgrassdoor
