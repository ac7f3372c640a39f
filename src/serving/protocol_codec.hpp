/// \file
/// Defines what a front needs of an interface that callers and targets speak: an adapter fills in
/// the functions.
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

/// A part of a prompt, which targets may keep in memory.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

/// One request of a caller, whatever its route.
struct caller_request {
    /// The caller's id of this attempt; targets give it back in their answers.
    std::string id;
    /// The key that was shown; empty when none was.
    std::string key;
    std::string host;
    /// How long the caller will wait.
    std::optional<duration> time_left;
    /// The last event that the caller has of a stream that broke.
    std::optional<std::uint64_t> resume_after;
    std::vector<prompt_part> prompt;
    /// Method, target, body and the fields that are passed on as they are.
    net::http_request content;
};

/// A caller reads the results of a job behind the first \p after ones.
struct job_read {
    caller_request from;
    std::string job;
    std::uint64_t after = 0;
    /// How long the answer may be delayed until there is a result.
    duration wait{};
};

/// A caller reads the body of an item.
struct item_read {
    caller_request from;
    std::string job;
    std::string item;
};

/// A caller ends a job.
struct job_end {
    caller_request from;
    std::string job;
};

using caller_call = std::variant<caller_request, job_read, item_read, job_end>;

/// One item of a submitted job.
struct submitted_item {
    std::string id;
    std::string path;
    net::header_list headers;
    std::string body;
    /// Prompt tokens and the most output tokens together.
    std::uint64_t tokens = 0;
};

/// How a request goes to one target.
struct target_call {
    std::string target_id;
    /// Empty on routes that are open to all.
    std::string customer;
    /// When the target may give up; batch items have no limit.
    std::optional<duration> time_left;
    /// The target continues behind this event.
    std::optional<std::uint64_t> resume_after;
};

/// What the head of a target's answer says.
struct target_answer {
    /// The id of the request that it belongs to; empty when the target names none.
    std::string request_id;
    /// Whether the target states that it did not run the request.
    bool not_run = false;
    /// Whether the answer is a stream of events.
    bool is_stream = false;
    /// Whether the body is encoded, which callers have not asked for.
    bool is_encoded = false;
    /// Whether the target says that it leaves and takes no new requests.
    bool target_leaves = false;
};

/// One result of a job, as callers see it.
struct listed_result {
    std::string item;
    /// Whether the item was done; otherwise it was given up.
    bool complete = false;
    std::string output;
};

/// A page of results.
struct result_page {
    std::uint64_t total = 0;
    std::uint64_t next = 0;
    std::vector<listed_result> results;
};

/// The interface as functions. They do no I/O.
struct caller_wire {
    std::function<result<caller_call>(net::http_request)> decode;
    std::function<result<std::vector<submitted_item>>(std::string_view body)> decode_submission;
    std::function<net::http_request(const caller_request&, const target_call&)> encode_call;
    std::function<target_answer(const net::http_response&)> decode_answer;
    std::function<net::http_response(const error&)> encode_error;
    std::function<net::http_response(const result_page&)> encode_results;
};

} // namespace eelgrassdoor::serving
