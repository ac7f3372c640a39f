#include "base/random_source.hpp"

#include "base/text.hpp"

#include <openssl/rand.h>

#include <cmath>

namespace eelgrassdoor {

std::uint64_t random_source::next() {
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = m_state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

double random_source::uniform() {
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

double random_source::exponential(double mean) {
    return -mean * std::log1p(-uniform());
}

std::string secure_random_hex(int bytes) {
    std::string raw(static_cast<std::size_t>(bytes), '\0');
    RAND_bytes(reinterpret_cast<unsigned char*>(raw.data()), bytes);
    return to_hex(raw);
}

std::uint64_t secure_random_uint64() {
    std::uint64_t value = 0;
    RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof value);
    return value;
}

} // namespace eelgrassdoor
