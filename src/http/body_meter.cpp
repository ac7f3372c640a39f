#include "http/body_meter.hpp"

#include <algorithm>

namespace eelgrassdoor::http {

namespace {

/// Longest line between chunks in bytes; a size and a line end take at most 18.
constexpr std::size_t max_chunk_line = 1024;
/// Sizes of more digits would not fit 64 bits.
constexpr std::size_t max_size_digits = 15;

/// The value of a hexadecimal digit, or -1.
int hex_value(char c) {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

body_meter body_meter::of_length(std::uint64_t length) {
    body_meter out;
    out.m_left = length;
    out.m_state = length == 0 ? state::complete : state::reading;
    return out;
}

body_meter body_meter::chunked() {
    body_meter out;
    out.m_chunked = true;
    out.m_part = part::chunk_size;
    return out;
}

void body_meter::feed(std::string_view bytes) {
    while (!bytes.empty() && m_state == state::reading) {
        if (m_part != part::content) {
            feed_framing(bytes.front());
            bytes.remove_prefix(1);
            continue;
        }
        const std::size_t taken = std::min<std::uint64_t>(m_left, bytes.size());
        m_content += taken;
        m_left -= taken;
        bytes.remove_prefix(taken);
        if (m_left == 0) {
            m_part = part::chunk_end;
            m_state = m_chunked ? state::reading : state::complete;
        }
    }
}

void body_meter::feed_framing(char c) {
    ++m_line;
    const bool line_end = c == '\n';
    const int digit = hex_value(c);
    if (m_line > max_chunk_line) {
        m_state = state::malformed;
    } else if (m_part == part::chunk_size && digit >= 0 && m_line <= max_size_digits) {
        m_left = m_left * 16 + static_cast<std::uint64_t>(digit);
    } else if (m_part == part::chunk_size && (m_line == 1 || digit >= 0)) {
        m_state = state::malformed;
    } else if (m_part == part::chunk_size && !line_end) {
        // The library reads the size like strtoul(), which would go on at an 'x'.
        m_state = c == ';' || c == ' ' || c == '\t' || c == '\r' ? m_state : state::malformed;
        m_part = part::chunk_extension;
    } else if (line_end) {
        m_line = 0;
        if (m_part == part::last_line) {
            m_state = state::complete;
        } else if (m_part == part::chunk_end) {
            m_part = part::chunk_size;
        } else {
            m_part = m_left == 0 ? part::last_line : part::content;
        }
    }
}

} // namespace eelgrassdoor::http
