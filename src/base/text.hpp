/// \file
/// Defines text helpers over std::string_view. Debian's Abseil has a string_view type of its own.
#pragma once

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace eelgrassdoor {

inline absl::string_view to_absl(std::string_view s) {
    return {s.data(), s.size()};
}

namespace internal {

template <typename T> decltype(auto) cat_argument(const T& value) {
    if constexpr (std::is_convertible_v<const T&, std::string_view>) {
        return to_absl(value);
    } else {
        return (value);
    }
}

} // namespace internal

/// The arguments as text, one behind the other.
template <typename... Args> std::string str_cat(const Args&... args) {
    return absl::StrCat(internal::cat_argument(args)...);
}

/// Adds the arguments to \p out.
template <typename... Args> void str_append(std::string& out, const Args&... args) {
    absl::StrAppend(&out, internal::cat_argument(args)...);
}

/// The texts of \p parts with \p separator between them.
template <typename Range> std::string str_join(const Range& parts, std::string_view separator) {
    std::string out;
    for (const auto& part : parts) {
        if (!out.empty()) {
            out += separator;
        }
        out += part;
    }
    return out;
}

/// Reads a whole number; returns false when \p text is anything else.
template <typename Int> bool parse_int(std::string_view text, Int& out) {
    return absl::SimpleAtoi(to_absl(text), &out);
}

/// Reads a number with fractions.
inline bool parse_double(std::string_view text, double& out) {
    return absl::SimpleAtod(to_absl(text), &out);
}

/// \p text without white space at its ends.
std::string_view strip(std::string_view text);

inline bool contains(std::string_view text, std::string_view part) {
    return text.find(part) != std::string_view::npos;
}

inline bool equals_ignore_case(std::string_view a, std::string_view b) {
    return absl::EqualsIgnoreCase(to_absl(a), to_absl(b));
}

inline bool starts_with_ignore_case(std::string_view text, std::string_view prefix) {
    return absl::StartsWithIgnoreCase(to_absl(text), to_absl(prefix));
}

/// Removes \p prefix from \p text; returns whether it was there.
bool consume_prefix(std::string_view& text, std::string_view prefix);

/// The parts of \p text between separators, without empty ones.
std::vector<std::string_view> split(std::string_view text, char separator);

std::string to_hex(std::string_view bytes);
std::string to_base64(std::string_view bytes);
/// Empty when \p text is not Base64.
std::string from_base64(std::string_view text);

} // namespace eelgrassdoor
