/// \file
/// Defines digests, message authentication and rendezvous hashing.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassdoor {

/// SHA-256 of \p data in hexadecimal.
std::string sha256_hex(std::string_view data);

/// HMAC-SHA-256 of \p data under \p secret, 32 raw bytes.
std::string hmac_sha256(std::string_view secret, std::string_view data);

/// Compares in a time that does not depend on where the strings differ.
bool equal_constant_time(std::string_view a, std::string_view b);

/// A fast 64-bit hash that is the same in every process.
std::uint64_t stable_hash(std::string_view data);

/// The weight of \p node for \p key: the node with the highest weight is chosen.
std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::string_view node);

} // namespace eelgrassdoor
