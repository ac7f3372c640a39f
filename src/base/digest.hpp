/// \file
/// Defines SHA-256 digests, HMAC and the hashes for rendezvous hashing.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassdoor {

/// Returns the SHA-256 digest of \p data as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view data);

/// Returns the HMAC-SHA-256 of \p data with the key \p secret as 32 raw bytes.
std::string hmac_sha256(std::string_view secret, std::string_view data);

/// Compares two secrets. The time depends on their lengths but not on where they differ.
bool equal_constant_time(std::string_view a, std::string_view b);

/// Returns a non-cryptographic 64-bit hash that is the same in every process and on every host.
std::uint64_t stable_hash(std::string_view data);

/// Returns the weight of \p node for the key with the hash \p key_hash (see stable_hash()). The
/// node with the highest weight is chosen.
std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::string_view node);

} // namespace eelgrassdoor
