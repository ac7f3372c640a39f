/// \file
/// Defines how texts and lists go into cereal messages with a bound on their size, so that a
/// malformed message cannot make the reader allocate without bound.
#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::peer {

/// Thrown inside a decoder when a size is over its bound; decode() turns it into an empty result.
struct size_limit_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline constexpr std::size_t max_string_bytes = 4096;
inline constexpr std::size_t max_list_entries = 1024;

/// Serializes a text of at most max_string_bytes bytes.
template <typename Archive> void serialize_string(Archive& ar, std::string& value) {
    auto size = static_cast<std::uint16_t>(value.size());
    if (value.size() > max_string_bytes) {
        throw size_limit_error("text is too long");
    }
    ar(size);
    if (size > max_string_bytes) {
        throw size_limit_error("text is too long");
    }
    value.resize(size);
    ar(cereal::binary_data(value.data(), size));
}

/// Serializes a list of at most max_list_entries entries by \p each.
template <typename Archive, typename T, typename Each>
void serialize_list(Archive& ar, std::vector<T>& values, Each each) {
    auto size = static_cast<std::uint16_t>(values.size());
    if (values.size() > max_list_entries) {
        throw size_limit_error("list is too long");
    }
    ar(size);
    if (size > max_list_entries) {
        throw size_limit_error("list is too long");
    }
    values.resize(size);
    for (T& value : values) {
        each(ar, value);
    }
}

} // namespace eelgrassdoor::peer
