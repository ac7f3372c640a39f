/// \file
/// Defines HTTP/1.1 messages and their serialization.
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

/// Header fields in the order in which they were added. Names are case-insensitive.
class header_list {
public:
    void add(std::string_view name, std::string_view value);
    /// Replaces all fields of that name by one.
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

/// Whether a field can be sent as it is: its name is a token, and its value has no control
/// character, which could end the field or the message.
[[nodiscard]] bool is_valid_field(std::string_view name, std::string_view value);
/// Whether \p target is a path, with or without a query, that can be sent as it is.
[[nodiscard]] bool is_valid_target(std::string_view target);

/// A request. Serialization ignores keep_alive, which the parser sets.
struct http_request {
    std::string method;
    /// Path and query, still percent-encoded.
    std::string target;
    header_list headers;
    std::string body;
    /// Whether the sender wants to reuse the connection.
    bool keep_alive = true;

    /// The target up to its query.
    [[nodiscard]] std::string_view path() const;
    /// The percent-decoded value of the query parameter \p name; nothing when it is missing.
    [[nodiscard]] std::optional<std::string> query(std::string_view name) const;
};

/// A response. The fields after the body are set by the parser, and serialization ignores them.
struct http_response {
    int status = 0;
    header_list headers;
    std::string body;
    /// Whether the sender keeps the connection open.
    bool keep_alive = true;
    /// Whether the message itself delimits the body; otherwise it ends when the connection closes.
    bool framed = true;
    /// Length of the body in bytes, if the sender stated it.
    std::optional<std::uint64_t> content_length;
};

/// Whether the field \p name is hop-by-hop and must not be forwarded. \p connection_value is the
/// value of the message's Connection field, which may name further hop-by-hop fields.
bool is_hop_by_hop(std::string_view name, std::string_view connection_value);

/// Copies status and end-to-end headers of a response that is forwarded. Content-Length is left
/// out, as the body is framed anew.
http_response make_forwarded_head(const http_response& response);

/// Percent-encodes \p text for use as a query value. Slashes are kept.
std::string percent_encode(std::string_view text);

/// Serializes a request. A Content-Length field is added when there is a body or the method is POST
/// or PUT.
std::string serialize(const http_request& request);

/// Serializes a response with a Content-Length field. Takes a copy that it frees, so that a
/// response that is moved here is held once.
std::string serialize(http_response response);

/// Serializes status and headers of a response. Content-Length or Transfer-Encoding must be set by
/// the caller.
std::string serialize_head(const http_response& response);

/// Encodes \p data, which must not be empty, as one chunk of a chunked body.
std::string encode_chunk(std::string_view data);

/// The end of a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace eelgrassdoor::net
