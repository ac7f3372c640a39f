#include "base/compression.hpp"

#include <algorithm>
#include <new>
#include <zlib.h>

namespace eelgrassdoor {

namespace {

/// Size of the first output buffer relative to the input: JSON of configurations shrinks about
/// eightfold.
constexpr std::size_t expected_ratio = 8;
constexpr std::size_t min_buffer_bytes = 1024;

const Bytef* to_bytes(std::string_view text) {
    return reinterpret_cast<const Bytef*>(text.data());
}

} // namespace

std::string compress(std::string_view bytes) {
    uLongf size = ::compressBound(bytes.size());
    std::string out(size, '\0');
    const int status = ::compress2(reinterpret_cast<Bytef*>(out.data()), &size, to_bytes(bytes),
                                   bytes.size(), Z_BEST_SPEED);
    if (status != Z_OK) {
        // With a buffer of compressBound() bytes only a lack of memory can make it fail.
        throw std::bad_alloc();
    }
    out.resize(size);
    return out;
}

std::optional<std::string> decompress(std::string_view bytes, std::size_t max_bytes) {
    std::size_t capacity =
        std::min(max_bytes, std::max(min_buffer_bytes, expected_ratio * bytes.size()));
    for (;;) {
        std::string out(capacity, '\0');
        uLongf size = capacity;
        const int status = ::uncompress(reinterpret_cast<Bytef*>(out.data()), &size,
                                        to_bytes(bytes), bytes.size());
        if (status == Z_OK) {
            out.resize(size);
            return out;
        }
        if (status != Z_BUF_ERROR || capacity == max_bytes) {
            return std::nullopt;
        }
        capacity = std::min(max_bytes, 2 * capacity);
    }
}

} // namespace eelgrassdoor
