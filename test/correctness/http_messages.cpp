/// \file
/// The parser of HTTP messages: what is whole, what is cut, what is refused.
#include "check.hpp"
#include "net/http_parser.hpp"

namespace {

using namespace eelgrassdoor::net;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

constexpr std::string_view post =
    "POST /a/b?x=1%20y HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
constexpr std::string_view chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

/// Feeds as a connection does: what was not used stays in front of what comes next.
std::string feed_all(http_parser& parser, std::string_view bytes, std::size_t step) {
    std::string input;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        input += bytes.substr(at, step);
        input.erase(0, parser.feed(input));
    }
    return input;
}

void check_requests() {
    property("a request is the same in pieces of any size", [] {
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
            "the next request stays with the caller");
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
            "a request with two lengths is refused: it could hide another one");
    require(parse_fault_of("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n") ==
                parse_fault::malformed,
            "a request with two different lengths is refused");
    require(parse_fault_of("nonsense\r\n\r\n") == parse_fault::malformed, "nonsense is malformed");
    require(parse_fault_of("GET / HTTP/1.1\r\nA: " + std::string(400, 'a') + "\r\n\r\n",
                           {.max_header_bytes = 200}) == parse_fault::header_too_large,
            "a head over its bound is refused");
    require(parse_fault_of(post, {.max_body_bytes = 4}) == parse_fault::body_too_large,
            "a body over its bound is refused");
}

void check_responses() {
    property("a chunked answer is whole only with its last chunk", [] {
        const auto cut = *rc::gen::inRange<std::size_t>(1, chunked.size());
        response_parser parser({});
        feed_all(parser, chunked.substr(0, cut), cut);
        RC_ASSERT(!parser.complete());
        parser.feed_eof();
        RC_ASSERT(parser.fault() == parse_fault::truncated);
    });
    response_parser chunked_parser({});
    const std::string with_trailing_bytes = std::string(chunked) + "HTTP/1.1 200 OK\r\n";
    require(feed_all(chunked_parser, with_trailing_bytes, 7).starts_with("HTTP/1.1"),
            "bytes behind a complete answer belong to no request");
    require(chunked_parser.complete() && chunked_parser.message().body == "abcde",
            "chunks are joined");
    response_parser unframed({});
    feed_all(unframed, "HTTP/1.1 200 OK\r\n\r\nabc", 5);
    require(!unframed.complete() && !unframed.message().framed,
            "an answer without a length ends with its connection");
    unframed.feed_eof();
    require(unframed.complete() && unframed.message().body == "abc", "which makes it whole");
}

void check_fields() {
    require(is_hop_by_hop("keep-alive", ""), "Keep-Alive concerns one connection");
    require(is_hop_by_hop("X-One", "close, x-one"), "so does what Connection names");
    require(!is_hop_by_hop("X-Two", "close, x-one"), "others are passed on");
    require(percent_encode("a b&c/d") == "a%20b%26c/d", "query values are encoded");
}

} // namespace

int main() {
    check_requests();
    check_rejections();
    check_responses();
    check_fields();
    return eelgrassdoor::test::finish();
}
