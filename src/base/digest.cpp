#include "base/digest.hpp"

#include "base/text.hpp"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <array>

namespace eelgrassdoor {

namespace {

/// The 64-bit finalizer of MurmurHash3, which spreads every input bit over the whole result.
std::uint64_t finalize_hash(std::uint64_t z) {
    z = (z ^ (z >> 33)) * 0xff51afd7ed558ccdULL;
    z = (z ^ (z >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return z ^ (z >> 33);
}

const unsigned char* bytes_of(std::string_view data) {
    return reinterpret_cast<const unsigned char*>(data.data());
}

} // namespace

std::string sha256_hex(std::string_view data) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> out{};
    SHA256(bytes_of(data), data.size(), out.data());
    return to_hex({reinterpret_cast<const char*>(out.data()), out.size()});
}

std::string hmac_sha256(std::string_view secret, std::string_view data) {
    std::string out(SHA256_DIGEST_LENGTH, '\0');
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes_of(data), data.size(),
         reinterpret_cast<unsigned char*>(out.data()), &size);
    return out;
}

bool equal_constant_time(std::string_view a, std::string_view b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t stable_hash(std::string_view data) {
    // FNV-1a with its 64-bit offset basis and prime.
    std::uint64_t h = 0xcbf29ce484222325ULL;
    for (const char c : data) {
        h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return finalize_hash(h);
}

std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::string_view node) {
    return finalize_hash(key_hash ^ stable_hash(node));
}

} // namespace eelgrassdoor
