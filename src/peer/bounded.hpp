/// \file
/// Defines cereal serializers for strings and lists that bound the memory a malformed message can
/// make the decoder allocate.
#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::peer {

/// Thrown by a serializer when a size exceeds its limit. decode() turns it into an empty result;
/// encode() lets it propagate.
struct size_limit_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline constexpr std::size_t max_string_bytes = 4096;
inline constexpr std::size_t max_list_entries = 1024;

/// Serializes \p value as a 16-bit length and its bytes. Works with input and output archives.
/// Throws size_limit_error above max_string_bytes, in both directions.
template <typename Archive> void serialize_string(Archive& ar, std::string& value) {
    auto size = static_cast<std::uint16_t>(value.size());
    if (value.size() > max_string_bytes) {
        throw size_limit_error("string exceeds max_string_bytes");
    }
    ar(size);
    if (size > max_string_bytes) {
        throw size_limit_error("string exceeds max_string_bytes");
    }
    value.resize(size);
    ar(cereal::binary_data(value.data(), size));
}

/// Serializes \p values as a 16-bit count and the entries, each by `each(ar, entry)`. Works with
/// input and output archives. Throws size_limit_error above max_list_entries, in both directions.
template <typename Archive, typename T, typename Each>
void serialize_list(Archive& ar, std::vector<T>& values, Each each) {
    auto size = static_cast<std::uint16_t>(values.size());
    if (values.size() > max_list_entries) {
        throw size_limit_error("list exceeds max_list_entries");
    }
    ar(size);
    if (size > max_list_entries) {
        throw size_limit_error("list exceeds max_list_entries");
    }
    values.resize(size);
    for (T& value : values) {
        each(ar, value);
    }
}

} // namespace eelgrassdoor::peer
