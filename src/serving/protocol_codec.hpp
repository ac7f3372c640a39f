/// \file
/// Defines the codec between the platform's HTTP interfaces and the requests and results that the
/// services work with; a platform adapter provides the functions.
#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"
#include "net/http_message.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace eelgrassdoor::serving {

/// A segment of a prompt that targets may have cached.
struct prompt_segment {
    std::string id;
    /// Length in tokens.
    std::uint64_t tokens = 0;
};

/// A request of a caller, on any route.
struct caller_request {
    /// The caller's id of this attempt; targets repeat it in their responses.
    std::string id;
    /// The API key of the request; empty when it has none.
    std::string key;
    /// The host name that the request was sent to.
    std::string host;
    /// How long the caller will wait; nothing when it names no limit.
    std::optional<duration> time_left;
    /// Id of the last event that the caller received of an interrupted stream.
    std::optional<std::uint64_t> resume_after;
    /// Id of the caller's attempt that brought the first event of that stream; empty when the
    /// caller names none.
    std::string resumed_attempt;
    /// The segments of the prompt, as far as the caller states them.
    std::vector<prompt_segment> prompt;
    /// Method, request target, body and the header fields that are forwarded unchanged.
    net::http_request content;
};

/// A read of the results of a job.
struct job_read {
    caller_request request;
    std::string job;
    /// Number of results to skip.
    std::uint64_t after = 0;
    /// How long the response may be delayed until there is a result.
    duration wait{};
};

/// A read of the body of an item.
struct item_read {
    caller_request request;
    std::string job;
    std::string item;
};

/// The cancellation of a job.
struct job_cancellation {
    caller_request request;
    std::string job;
};

/// A request by what it asks for: a caller_request is an online request or a job submission,
/// depending on its route.
using decoded_request = std::variant<caller_request, job_read, item_read, job_cancellation>;

/// One item of a submitted job. Path, headers and body are those of its request to a target.
struct submitted_item {
    /// Identifies the item within its job.
    std::string id;
    std::string path;
    net::header_list headers;
    std::string body;
    /// Prompt tokens plus the maximum number of output tokens.
    std::uint64_t tokens = 0;
};

/// What a request needs in addition to be sent to one target.
struct target_call {
    std::string target_id;
    /// Empty on routes that are open to all.
    std::string customer;
    /// How long the target may work on the request; nothing for batch items, which have no limit.
    std::optional<duration> time_left;
    /// Id of the event after which the target continues a stream.
    std::optional<std::uint64_t> resume_after;
};

/// The facts in the headers of a target's response.
struct target_response {
    /// The id of the request that the response belongs to; empty when the target names none.
    std::string request_id;
    /// Whether the target states that it did not run the request.
    bool not_run = false;
    /// Whether the body is a stream of events.
    bool is_stream = false;
    /// Whether the body has a content encoding, which callers have not asked for.
    bool has_content_encoding = false;
    /// Whether the target states that it is shutting down and takes no new requests.
    bool target_is_leaving = false;
    /// The requests per second that the target takes from all daemons together; nothing when it
    /// names no limit.
    std::optional<double> request_limit;
    /// The text of a limit that is not a number; empty when the limit is valid or missing.
    std::string malformed_limit;
};

/// The result of one item of a job, as callers see it.
struct item_result {
    std::string item;
    /// Whether the item succeeded; otherwise it failed for good.
    bool complete = false;
    /// The data of the item's events, joined by line feeds; empty when the item failed.
    std::string output;
};

/// A page of results of a job.
struct result_page {
    /// Number of items in the job.
    std::uint64_t total = 0;
    /// Position after the last result of the page; the next read starts here.
    std::uint64_t next = 0;
    std::vector<item_result> results;
};

/// Encoding and decoding of the platform's HTTP messages. The functions do no I/O. The decoders
/// fail with error_code::invalid_request. All functions must be set.
struct protocol_codec {
    /// Decodes a request of a caller.
    std::function<result<decoded_request>(net::http_request)> decode;
    /// Decodes the body of a job submission into its items.
    std::function<result<std::vector<submitted_item>>(std::string_view body)> decode_submission;
    /// Encodes a caller's request for one target.
    std::function<net::http_request(const caller_request&, const target_call&)> encode_call;
    /// Reads the segments of the prompt from the headers of a request or an item.
    std::function<std::vector<prompt_segment>(const net::header_list&)> decode_prompt;
    /// Reads the headers of a target's response; the body need not have arrived.
    std::function<target_response(const net::http_response&)> decode_response;
    /// Encodes the question for the report of the target at `IP:PORT`.
    std::function<net::http_request(std::string_view endpoint)> encode_report_call;
    /// Reads from a target's report when its process started, in Unix milliseconds; nothing when
    /// the response is no report or does not say.
    std::function<std::optional<std::uint64_t>(const net::http_response&)> decode_start_time;
    /// Encodes an error for the caller.
    std::function<net::http_response(const error&)> encode_error;
    /// Encodes a page of results for the caller.
    std::function<net::http_response(const result_page&)> encode_results;
};

} // namespace eelgrassdoor::serving
