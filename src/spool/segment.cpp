#include "spool/segment.hpp"

#include <boost/crc.hpp>

#include <cstring>

namespace eelgrassdoor::spool {

namespace {

/// Length and CRC-32 of the payload, 32 bits each, little-endian.
constexpr std::size_t header_bytes = 8;
/// A larger length field is treated as damaged.
constexpr std::uint32_t max_payload_bytes = 64U << 20U;

std::uint32_t checksum(std::string_view payload) {
    boost::crc_32_type crc;
    crc.process_bytes(payload.data(), payload.size());
    return crc.checksum();
}

/// Appends \p value in little-endian byte order.
void append_uint32(std::string& out, std::uint32_t value) {
    for (int shift = 0; shift < 32; shift += 8) {
        out.push_back(static_cast<char>(value >> shift));
    }
}

/// Reads a little-endian number from the first four bytes.
std::uint32_t read_uint32(std::string_view bytes) {
    std::uint32_t value = 0;
    for (int i = 3; i >= 0; --i) {
        value = value << 8U | static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
    }
    return value;
}

} // namespace

std::string encode_record(std::string_view payload) {
    std::string out;
    out.reserve(header_bytes + payload.size());
    append_uint32(out, static_cast<std::uint32_t>(payload.size()));
    append_uint32(out, checksum(payload));
    out += payload;
    return out;
}

std::size_t read_records(std::string_view bytes,
                         const std::function<void(std::string_view payload)>& on_record) {
    std::size_t offset = 0;
    while (bytes.size() - offset >= header_bytes) {
        const std::uint32_t size = read_uint32(bytes.substr(offset));
        if (size > max_payload_bytes || size > bytes.size() - offset - header_bytes) {
            break;
        }
        const std::string_view payload = bytes.substr(offset + header_bytes, size);
        if (checksum(payload) != read_uint32(bytes.substr(offset + 4))) {
            break;
        }
        on_record(payload);
        offset += header_bytes + size;
    }
    return offset;
}

} // namespace eelgrassdoor::spool
