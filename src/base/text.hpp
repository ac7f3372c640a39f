/// \file
/// Defines string functions on std::string_view. Debian builds Abseil with a string_view type of
/// its own, so these functions convert the arguments.
#pragma once

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace eelgrassdoor {

/// Converts to Abseil's string_view, which refers to the same memory.
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

/// Returns the concatenation of the arguments, which are strings or numbers.
template <typename... Args> std::string str_cat(const Args&... args) {
    return absl::StrCat(internal::cat_argument(args)...);
}

/// Appends the arguments, which are strings or numbers, to \p out.
template <typename... Args> void str_append(std::string& out, const Args&... args) {
    absl::StrAppend(&out, internal::cat_argument(args)...);
}

/// Returns the strings of \p parts with \p separator between them. No separator follows leading
/// empty strings.
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

/// Parses a decimal integer. Returns false when \p text is not an integer or out of range for Int.
template <typename Int> bool parse_int(std::string_view text, Int& out) {
    return absl::SimpleAtoi(to_absl(text), &out);
}

/// Parses a floating-point number. Returns false when \p text is not one.
inline bool parse_double(std::string_view text, double& out) {
    return absl::SimpleAtod(to_absl(text), &out);
}

/// Returns \p text without leading and trailing ASCII white space.
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

/// Removes \p prefix from the start of \p text. Returns false, and changes nothing, when \p text
/// does not start with it.
bool consume_prefix(std::string_view& text, std::string_view prefix);

/// Returns the non-empty parts of \p text between the separators. They refer to the memory of
/// \p text.
std::vector<std::string_view> split(std::string_view text, char separator);

/// Returns \p bytes in lower-case hexadecimal.
std::string to_hex(std::string_view bytes);
/// Returns \p bytes in padded standard Base64.
std::string to_base64(std::string_view bytes);
/// Decodes standard Base64. Returns an empty string when \p text is not valid.
std::string from_base64(std::string_view text);

} // namespace eelgrassdoor
