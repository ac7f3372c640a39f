/// \file
/// Checks which HTTP messages the parsers accept as complete, report as truncated, and reject.
#include "base/text.hpp"
#include "check.hpp"
#include "net/http_parser.hpp"

namespace {

using namespace eelgrassdoor::net;
using eelgrassdoor::str_cat;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

constexpr std::string_view post =
    "POST /a/b?x=1%20y HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
constexpr std::string_view chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

/// Feeds \p bytes in pieces of \p step bytes, like a connection: bytes that are not consumed are
/// passed again before the next ones. Returns the bytes that were never consumed.
std::string feed_all(http_parser& parser, std::string_view bytes, std::size_t step) {
    std::string input;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        input += bytes.substr(at, step);
        input.erase(0, parser.feed(input));
    }
    return input;
}

void check_requests() {
    property("a request is parsed the same in pieces of any size", [] {
        const auto step = *rc::gen::inRange<std::size_t>(1, post.size() + 1);
        request_parser parser({});
        RC_ASSERT(feed_all(parser, post, step).empty());
        RC_ASSERT(parser.complete());
        RC_ASSERT(parser.message().body == "hello");
        RC_ASSERT(parser.message().path() == "/a/b");
        RC_ASSERT(parser.message().query("x") == "1 y");
        RC_ASSERT(parser.message().keep_alive);
    });
    request_parser pipelined({});
    const std::string two_requests = std::string(post) + std::string(post);
    require(feed_all(pipelined, two_requests, two_requests.size()) == post,
            "the bytes of a pipelined second request are not consumed");
}

parse_fault parse_fault_of(std::string_view bytes, parse_limits limits = {}) {
    request_parser parser(limits);
    feed_all(parser, bytes, bytes.size());
    return parser.fault();
}

void check_rejections() {
    require(parse_fault_of(
                "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n") ==
                parse_fault::malformed,
            "Content-Length with Transfer-Encoding is rejected: it allows request smuggling");
    require(parse_fault_of("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n") ==
                parse_fault::malformed,
            "two different Content-Length headers are rejected");
    require(parse_fault_of("nonsense\r\n\r\n") == parse_fault::malformed,
            "text that is not HTTP is malformed");
    require(parse_fault_of("GET / HTTP/1.1\r\nA: " + std::string(400, 'a') + "\r\n\r\n",
                           {.max_header_bytes = 200}) == parse_fault::header_too_large,
            "a header section over max_header_bytes is rejected");
    require(parse_fault_of(post, {.max_body_bytes = 4}) == parse_fault::body_too_large,
            "a body over max_body_bytes is rejected");
}

void check_responses() {
    property("an element of a chunked body that does not end is malformed", [] {
        const std::string_view begin = *rc::gen::element<std::string_view>("", "5;x=", "0\r\nX: ");
        response_parser response({.max_header_bytes = 1000});
        feed_all(response,
                 str_cat("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", begin,
                         std::string(2000, '0')),
                 100);
        RC_ASSERT(response.fault() == parse_fault::malformed);
        request_parser request({.max_header_bytes = 1000});
        feed_all(request,
                 str_cat("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", begin,
                         std::string(2000, '0')),
                 100);
        RC_ASSERT(request.fault() == parse_fault::malformed);
    });
    property("a chunked response is complete only with its last chunk, else truncated", [] {
        const auto cut = *rc::gen::inRange<std::size_t>(1, chunked.size());
        response_parser parser({});
        feed_all(parser, chunked.substr(0, cut), cut);
        RC_ASSERT(!parser.complete());
        parser.feed_eof();
        RC_ASSERT(parser.fault() == parse_fault::truncated);
    });
    property("a status without a class is malformed, others are not", [] {
        const int status = *rc::gen::inRange(0, 1000);
        response_parser parser({});
        const std::string digits = std::to_string(status + 1000).substr(1);
        feed_all(parser, str_cat("HTTP/1.1 ", digits, " X\r\nContent-Length: 0\r\n\r\n"), 100);
        const bool is_valid = status >= 100 && status < 600 && status != 101;
        RC_ASSERT(parser.fault() == (is_valid ? parse_fault::none : parse_fault::malformed));
    });
    response_parser chunked_parser({});
    const std::string with_trailing_bytes = std::string(chunked) + "HTTP/1.1 200 OK\r\n";
    require(feed_all(chunked_parser, with_trailing_bytes, 7).starts_with("HTTP/1.1"),
            "bytes after a complete response are not consumed");
    require(chunked_parser.complete() && chunked_parser.message().body == "abcde",
            "a chunked response is complete, and its chunks are joined to one body");
    response_parser unframed({});
    feed_all(unframed, "HTTP/1.1 200 OK\r\n\r\nabc", 5);
    require(!unframed.complete() && !unframed.message().framed,
            "a response without framing is not complete before the connection ends");
    unframed.feed_eof();
    require(unframed.complete() && unframed.message().body == "abc",
            "the end of the connection completes a response without framing");
}

void check_fields() {
    require(is_hop_by_hop("keep-alive", ""), "Keep-Alive is hop-by-hop");
    require(is_hop_by_hop("X-One", "close, x-one"),
            "a field that the Connection header names is hop-by-hop");
    require(!is_hop_by_hop("X-Two", "close, x-one"),
            "a field that the Connection header does not name is forwarded");
    require(percent_encode("a b&c/d") == "a%20b%26c/d",
            "spaces and ampersands are percent-encoded, slashes are not");
}

} // namespace

int main() {
    check_requests();
    check_rejections();
    check_responses();
    check_fields();
    return eelgrassdoor::test::finish();
}
