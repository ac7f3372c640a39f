/// \file
/// Defines encoding and decoding of peer messages.
#pragma once

#include "peer/bounded.hpp"

#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace eelgrassdoor::peer {

/// Encodes \p message in cereal's portable binary format, which is independent of the host's byte
/// order. Throws size_limit_error when a string or list of the message exceeds its limit.
template <typename Message> std::string encode(const Message& message) {
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive ar(out);
        ar(const_cast<Message&>(message));
    }
    return std::move(out).str();
}

/// Decodes the output of encode() at the start of \p bytes and removes it from them. Returns an
/// empty optional when they are malformed or truncated.
template <typename Message> std::optional<Message> decode_front(std::string_view& bytes) {
    try {
        std::istringstream in{std::string(bytes)};
        Message message;
        {
            cereal::PortableBinaryInputArchive ar(in);
            ar(message);
        }
        bytes.remove_prefix(static_cast<std::size_t>(in.tellg()));
        return message;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

/// Decodes the output of encode(). Returns an empty optional when \p bytes are malformed or
/// truncated; bytes behind the message are ignored.
template <typename Message> std::optional<Message> decode(std::string_view bytes) {
    return decode_front<Message>(bytes);
}

} // namespace eelgrassdoor::peer
