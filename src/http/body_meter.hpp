/// \file
/// Defines the meter that follows the framing of a request body as its bytes arrive.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace eelgrassdoor::http {

/// Counts the content of one body and finds its end, without keeping any of it.
class body_meter {
public:
    enum class state { reading, complete, malformed };

    /// A body of \p length bytes; one of 0 bytes is complete at once.
    static body_meter of_length(std::uint64_t length);
    /// A chunked body. Trailers and chunk lines longer than a fixed bound are malformed.
    static body_meter chunked();

    /// Takes the next bytes, none of which lie beyond the end of the body.
    void feed(std::string_view bytes);
    [[nodiscard]] state current() const { return m_state; }
    /// Bytes of content so far, without the framing.
    [[nodiscard]] std::uint64_t content_bytes() const { return m_content; }

private:
    enum class part { content, chunk_size, chunk_extension, chunk_end, last_line };

    /// Takes one byte of the framing of a chunk.
    void feed_framing(char c);

    state m_state = state::reading;
    part m_part = part::content;
    bool m_chunked = false;
    std::uint64_t m_left = 0;
    std::uint64_t m_content = 0;
    std::size_t m_line = 0;
};

} // namespace eelgrassdoor::http
