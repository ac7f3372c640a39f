/// \file
/// Defines the encoding of mirror snapshots that daemons send to each other.
#pragma once

#include "store/mirror.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::store {

/// Encodes \p snapshot for another daemon.
std::string encode_snapshot(const mirror_snapshot& snapshot);

/// Decodes the output of encode_snapshot(). Returns nothing when \p bytes are malformed.
std::optional<mirror_snapshot> decode_snapshot(std::string_view bytes);

} // namespace eelgrassdoor::store
