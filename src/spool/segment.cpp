#include "spool/segment.hpp"

#include <boost/crc.hpp>

#include <cstring>

namespace eelgrassdoor::spool {

namespace {

constexpr std::size_t head_bytes = 8;
constexpr std::uint32_t max_payload_bytes = 64U << 20U;

std::uint32_t checksum(std::string_view payload) {
    boost::crc_32_type crc;
    crc.process_bytes(payload.data(), payload.size());
    return crc.checksum();
}

void put_number(std::string& out, std::uint32_t value) {
    for (int shift = 0; shift < 32; shift += 8) {
        out.push_back(static_cast<char>(value >> shift));
    }
}

std::uint32_t get_number(std::string_view bytes) {
    std::uint32_t value = 0;
    for (int i = 3; i >= 0; --i) {
        value = value << 8U | static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
    }
    return value;
}

} // namespace

std::string encode_record(std::string_view payload) {
    std::string out;
    out.reserve(head_bytes + payload.size());
    put_number(out, static_cast<std::uint32_t>(payload.size()));
    put_number(out, checksum(payload));
    out += payload;
    return out;
}

std::size_t read_records(std::string_view bytes,
                         const std::function<void(std::string_view payload)>& each) {
    std::size_t at = 0;
    while (bytes.size() - at >= head_bytes) {
        const std::uint32_t size = get_number(bytes.substr(at));
        if (size > max_payload_bytes || size > bytes.size() - at - head_bytes) {
            break;
        }
        const std::string_view payload = bytes.substr(at + head_bytes, size);
        if (checksum(payload) != get_number(bytes.substr(at + 4))) {
            break;
        }
        each(payload);
        at += head_bytes + size;
    }
    return at;
}

} // namespace eelgrassdoor::spool
