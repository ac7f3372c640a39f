/// \file
/// Defines the heads of HTTP/1.1 messages and how they are written.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::net {

/// One header field.
struct http_header {
    std::string name;
    std::string value;
};

/// Header fields in the order of their arrival; names compare without regard to case.
class header_list {
public:
    void add(std::string_view name, std::string_view value);
    /// Replaces every field of that name by one.
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);
    /// The value of the first field of that name, or null.
    [[nodiscard]] const std::string* find(std::string_view name) const;
    /// The value of the first field of that name, or an empty text.
    [[nodiscard]] std::string_view get(std::string_view name) const;
    [[nodiscard]] const std::vector<http_header>& all() const { return m_fields; }

private:
    std::vector<http_header> m_fields;
};

struct http_request {
    std::string method;
    /// Path and query as sent.
    std::string target;
    header_list headers;
    std::string body;
    /// Whether the sender will use the connection again.
    bool keep_alive = true;

    /// The target up to its query.
    [[nodiscard]] std::string_view path() const;
    /// The value of \p name in the query, percent-decoded; nothing when it is not there.
    [[nodiscard]] std::optional<std::string> query(std::string_view name) const;
};

struct http_response {
    int status = 0;
    header_list headers;
    std::string body;
    bool keep_alive = true;
    /// Whether the body's end can be told from the end of the connection.
    bool framed = true;
    /// Length of the body when the sender stated it.
    std::optional<std::uint64_t> content_length;
};

/// Whether a field concerns one connection only and is not passed on. \p connection_value is the
/// value of the message's Connection field, which may name further ones.
bool is_hop_by_hop(std::string_view name, std::string_view connection_value);

/// \p text with every byte that may not stand in a query value percent-encoded.
std::string percent_encode(std::string_view text);

/// The bytes of a request with a Content-Length.
std::string serialize(const http_request& request);

/// The bytes of a response with a Content-Length.
std::string serialize(const http_response& response);

/// The bytes of a response head as given: framing fields are the caller's.
std::string serialize_head(const http_response& response);

/// \p data as one chunk of a chunked body.
std::string encode_chunk(std::string_view data);

/// The bytes that end a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace eelgrassdoor::net
