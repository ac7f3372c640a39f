#include "net/http_parser.hpp"

#include "base/text.hpp"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <limits>

namespace eelgrassdoor::net {

namespace {

namespace http = boost::beast::http;
using beast_error = boost::beast::error_code;
using beast_view = boost::beast::string_view;

constexpr int switching_protocols = 101;
/// Statuses that HTTP defines a class for (RFC 9110, section 15).
constexpr int min_status = 100;
constexpr int max_status = 599;
/// Limit of informational responses before the final one.
constexpr int max_informational_responses = 32;

bool is_informational(int status) {
    return status >= 100 && status < 200;
}

std::string_view to_string_view(beast_view text) {
    return {text.data(), text.size()};
}

/// Stores what Beast's parser reports in a message of this library.
template <bool is_request, typename Message>
class message_parser : public http::basic_parser<is_request> {
public:
    Message message;
    parse_limits limits;

private:
    void on_request_impl(http::verb /*method*/, beast_view method_text, beast_view target,
                         int /*version*/, beast_error& ec) override {
        ec = {};
        if constexpr (is_request) {
            message.method = to_string_view(method_text);
            message.target = to_string_view(target);
        }
    }
    void on_response_impl(int code, beast_view /*reason*/, int /*version*/,
                          beast_error& ec) override {
        ec = {};
        if constexpr (!is_request) {
            message.status = code;
            if (code < min_status || code > max_status) {
                ec = http::error::bad_status;
            }
        }
    }
    void on_field_impl(http::field /*name*/, beast_view name, beast_view value,
                       beast_error& ec) override {
        ec = {};
        message.headers.add(to_string_view(name), to_string_view(value));
    }
    void on_header_impl(beast_error& ec) override { ec = {}; }
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, beast_error& ec) override {
        ec = {};
        // Beast limits only the parts of a body that it gets at once.
        if (length && *length > limits.max_body_bytes) {
            ec = http::error::body_limit;
            return;
        }
        if constexpr (!is_request) {
            if (length) {
                message.content_length = *length;
            }
        }
    }
    std::size_t on_body_impl(beast_view body, beast_error& ec) override {
        ec = {};
        const std::size_t size = message.body.size() + body.size();
        if (size > message.body.capacity()) {
            // Grows by doubling, but not beyond what the message may contain.
            const auto limit = static_cast<std::size_t>(limits.max_body_bytes);
            message.body.reserve(std::max(size, std::min(2 * message.body.capacity(), limit)));
        }
        message.body.append(body.data(), body.size());
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, beast_view /*extensions*/,
                              beast_error& ec) override {
        ec = {};
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast_view body,
                                   beast_error& ec) override {
        return on_body_impl(body, ec);
    }
    void on_finish_impl(beast_error& ec) override { ec = {}; }
};

parse_fault to_fault(const beast_error& ec) {
    if (!ec || ec == http::error::need_more) {
        return parse_fault::none;
    }
    if (ec == http::error::header_limit) {
        return parse_fault::header_too_large;
    }
    if (ec == http::error::body_limit) {
        return parse_fault::body_too_large;
    }
    if (ec == http::error::partial_message || ec == http::error::end_of_stream) {
        return parse_fault::truncated;
    }
    return parse_fault::malformed;
}

template <typename Parser> void set_limits(Parser& parser, const parse_limits& limits) {
    parser.limits = limits;
    parser.eager(true);
    parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    parser.body_limit(limits.max_body_bytes);
}

template <typename Parser>
std::size_t feed_parser(Parser& parser, std::string_view bytes, parse_fault& fault) {
    std::size_t used = 0;
    while (used < bytes.size() && !parser.is_done() && fault == parse_fault::none) {
        beast_error ec;
        const std::size_t consumed =
            parser.put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), ec);
        used += consumed;
        fault = to_fault(ec);
        if (consumed == 0) {
            break;
        }
    }
    // What is left is the beginning of an element that has not ended.
    const bool is_open = !parser.is_done() && fault == parse_fault::none;
    if (is_open && bytes.size() - used > parser.limits.max_header_bytes) {
        fault = parse_fault::malformed;
    }
    return used;
}

template <typename Parser> void end_parser(Parser& parser, parse_fault& fault) {
    if (parser.is_done() || fault != parse_fault::none) {
        return;
    }
    if (!parser.got_some()) {
        fault = parse_fault::truncated;
        return;
    }
    beast_error ec;
    parser.put_eof(ec);
    fault = to_fault(ec);
}

} // namespace

struct request_parser::state {
    message_parser<true, http_request> parser;
};

request_parser::request_parser(parse_limits limits) : m_state(std::make_unique<state>()) {
    set_limits(m_state->parser, limits);
}
request_parser::~request_parser() = default;

std::size_t request_parser::feed(std::string_view bytes) {
    return feed_parser(m_state->parser, bytes, m_fault);
}
void request_parser::feed_eof() {
    end_parser(m_state->parser, m_fault);
}
bool request_parser::started() const {
    return m_state->parser.got_some();
}
bool request_parser::has_head() const {
    return m_state->parser.is_header_done();
}
bool request_parser::complete() const {
    return m_state->parser.is_done();
}
http_request& request_parser::message() {
    if (m_state->parser.is_header_done()) {
        m_state->parser.message.keep_alive = m_state->parser.keep_alive();
    }
    return m_state->parser.message;
}
bool request_parser::expects_continue() const {
    return equals_ignore_case(m_state->parser.message.headers.get("Expect"), "100-continue");
}

struct response_parser::state {
    message_parser<false, http_response> parser;
    int informational_responses = 0;
};

response_parser::response_parser(parse_limits limits) : m_state(std::make_unique<state>()) {
    set_limits(m_state->parser, limits);
}
response_parser::~response_parser() = default;

void response_parser::skip_informational() {
    // Without an Upgrade request, a 101 announces bytes that are not HTTP.
    if (m_state->parser.message.status == switching_protocols ||
        m_state->informational_responses == max_informational_responses) {
        m_fault = parse_fault::malformed;
        return;
    }
    auto next = std::make_unique<state>();
    next->informational_responses = m_state->informational_responses + 1;
    set_limits(next->parser, m_state->parser.limits);
    m_state = std::move(next);
}

std::size_t response_parser::feed(std::string_view bytes) {
    std::size_t used = feed_parser(m_state->parser, bytes, m_fault);
    while (m_state->parser.is_done() && is_informational(m_state->parser.message.status) &&
           m_fault == parse_fault::none) {
        skip_informational();
        used += feed_parser(m_state->parser, bytes.substr(used), m_fault);
    }
    return used;
}
void response_parser::feed_eof() {
    end_parser(m_state->parser, m_fault);
}
bool response_parser::started() const {
    return m_state->parser.got_some();
}
bool response_parser::has_head() const {
    return m_state->parser.is_header_done() && !is_informational(m_state->parser.message.status);
}
bool response_parser::complete() const {
    return m_state->parser.is_done() && m_fault == parse_fault::none;
}
http_response& response_parser::message() {
    if (m_state->parser.is_header_done()) {
        m_state->parser.message.keep_alive = m_state->parser.keep_alive();
        m_state->parser.message.framed = !m_state->parser.need_eof();
    }
    return m_state->parser.message;
}

} // namespace eelgrassdoor::net
