/// \file
/// Defines how messages become bytes and back.
#pragma once

#include "peer/bounded.hpp"

#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace eelgrassdoor::peer {

/// The bytes of \p message in cereal's portable binary form.
template <typename Message> std::string encode(const Message& message) {
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive ar(out);
        ar(const_cast<Message&>(message));
    }
    return std::move(out).str();
}

/// Reads what encode() wrote; nothing when the bytes are malformed.
template <typename Message> std::optional<Message> decode(std::string_view bytes) {
    try {
        std::istringstream in{std::string(bytes)};
        cereal::PortableBinaryInputArchive ar(in);
        Message message;
        ar(message);
        return message;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace eelgrassdoor::peer
