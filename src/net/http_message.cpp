#include "net/http_message.hpp"

#include "base/text.hpp"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace eelgrassdoor::net {

namespace {

constexpr std::array<std::string_view, 8> hop_by_hop_fields = {
    "Connection",         "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Upgrade",
    "Proxy-Authenticate", "TE",         "Trailer"};

void append_fields(std::string& out, const header_list& headers) {
    for (const http_header& field : headers.all()) {
        str_append(out, field.name, ": ", field.value, "\r\n");
    }
}

int hex_digit(char c) {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Decodes percent escapes, and `+` as a space. Malformed escapes are kept as they are.
std::string percent_decode(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hex_digit(text[i + 1]) >= 0 &&
            hex_digit(text[i + 2]) >= 0) {
            out += static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2]));
            i += 2;
        } else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

bool is_control_character(char c) {
    const auto code = static_cast<unsigned char>(c);
    return code < 0x20 || code == 0x7f;
}

/// Whether \p c may stand in the name of a field (RFC 9110, 5.6.2).
bool is_token_character(char c) {
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           others.find(c) != std::string_view::npos;
}

bool is_unreserved(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '.' || c == '_' || c == '~' || c == '/';
}

} // namespace

void header_list::add(std::string_view name, std::string_view value) {
    m_fields.push_back({std::string(name), std::string(value)});
}

void header_list::set(std::string_view name, std::string_view value) {
    remove(name);
    add(name, value);
}

void header_list::remove(std::string_view name) {
    std::erase_if(m_fields, [&](const http_header& f) { return equals_ignore_case(f.name, name); });
}

const std::string* header_list::find(std::string_view name) const {
    const auto found = std::find_if(m_fields.begin(), m_fields.end(), [&](const http_header& f) {
        return equals_ignore_case(f.name, name);
    });
    return found == m_fields.end() ? nullptr : &found->value;
}

std::string_view header_list::get(std::string_view name) const {
    const std::string* value = find(name);
    return value != nullptr ? std::string_view(*value) : std::string_view();
}

std::string_view http_request::path() const {
    const std::string_view request_target = target;
    return request_target.substr(0, request_target.find('?'));
}

std::optional<std::string> http_request::query(std::string_view name) const {
    const std::string_view request_target = target;
    const std::size_t query_start = request_target.find('?');
    if (query_start == std::string_view::npos) {
        return std::nullopt;
    }
    for (std::string_view part : split(request_target.substr(query_start + 1), '&')) {
        const std::size_t equals = part.find('=');
        if (part.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string()
                                                    : percent_decode(part.substr(equals + 1));
        }
    }
    return std::nullopt;
}

bool is_valid_field(std::string_view name, std::string_view value) {
    return !name.empty() && std::all_of(name.begin(), name.end(), is_token_character) &&
           std::none_of(value.begin(), value.end(),
                        [](char c) { return c != '\t' && is_control_character(c); });
}

bool is_valid_target(std::string_view target) {
    return target.starts_with('/') && std::none_of(target.begin(), target.end(), [](char c) {
               return c == ' ' || is_control_character(c);
           });
}

bool is_hop_by_hop(std::string_view name, std::string_view connection_value) {
    for (std::string_view field : hop_by_hop_fields) {
        if (equals_ignore_case(name, field)) {
            return true;
        }
    }
    for (std::string_view named : split(connection_value, ',')) {
        if (equals_ignore_case(name, strip(named))) {
            return true;
        }
    }
    return false;
}

http_response make_forwarded_head(const http_response& response) {
    http_response out;
    out.status = response.status;
    const std::string_view connection = response.headers.get("Connection");
    for (const http_header& field : response.headers.all()) {
        if (!is_hop_by_hop(field.name, connection) &&
            !equals_ignore_case(field.name, "Content-Length")) {
            out.headers.add(field.name, field.value);
        }
    }
    return out;
}

std::string percent_encode(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (char c : text) {
        if (is_unreserved(c)) {
            out += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
    }
    return out;
}

std::string serialize(const http_request& request) {
    std::string out = str_cat(request.method, " ", request.target, " HTTP/1.1\r\n");
    append_fields(out, request.headers);
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        str_append(out, "Content-Length: ", request.body.size(), "\r\n");
    }
    out += "\r\n";
    out += request.body;
    return out;
}

std::string serialize_head(const http_response& response) {
    const auto reason =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(response.status));
    std::string out = str_cat("HTTP/1.1 ", response.status, " ",
                              std::string_view(reason.data(), reason.size()), "\r\n");
    append_fields(out, response.headers);
    out += "\r\n";
    return out;
}

std::string serialize(http_response response) {
    const std::string body = std::move(response.body);
    response.headers.set("Content-Length", std::to_string(body.size()));
    const std::string head = serialize_head(response);
    std::string out;
    out.reserve(head.size() + body.size());
    out += head;
    out += body;
    return out;
}

std::string encode_chunk(std::string_view data) {
    return str_cat(absl::Hex(data.size()), "\r\n", data, "\r\n");
}

} // namespace eelgrassdoor::net
