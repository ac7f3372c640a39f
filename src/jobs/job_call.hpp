/// \file
/// Defines the remote calls about batch jobs, from daemons that serve callers to those that own
/// jobs.
#pragma once

#include "jobs/job_state.hpp"
#include "jobs/result_size.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::jobs {

/// Operation of a call. `adopt` asks the receiver to look for jobs without a live owner.
enum class call_kind : std::uint8_t { submit, read, read_item, cancel, adopt };

/// A request about one job. The fields are serialized in this order.
struct job_call {
    call_kind kind = call_kind::read;
    std::string job;
    std::string customer;
    /// submit: the route and the host name that the caller used.
    std::string route;
    std::string host;
    /// submit: the request body as the caller sent it.
    std::string body;
    /// read: the position after the last result that the caller has.
    std::uint64_t after = 0;
    /// read: how long to wait for further results, in milliseconds.
    std::uint32_t wait_ms = 0;
    /// read_item: the item's id.
    std::string item;
    /// Whether another daemon redirected the call here. Cached owners may be stale, so the receiver
    /// then reads the store instead of redirecting from its own cache.
    bool redirected = false;
    /// read: the reply lists no second result beyond this many bytes. Daemons of older builds
    /// neither send nor read it.
    std::uint64_t max_page_bytes = jobs::max_page_bytes;
};

enum class reply_status : std::uint8_t {
    ok,
    not_found,
    /// Another daemon owns the job; owner_endpoint has its address.
    moved,
    /// The customer's waiting tokens on the route would exceed the route's limit.
    refused,
    /// The call or the submitted items are malformed.
    invalid,
    /// The call was not executed; it may be retried at another daemon.
    unavailable,
    /// The call may or may not have taken effect.
    unknown,
};

/// The reply to a job_call.
struct job_reply {
    reply_status status = reply_status::unavailable;
    /// Address of the owner when the status is `moved`.
    std::string owner_endpoint;
    /// read: the results.
    serving::result_page page;
    /// read_item: the item's request body.
    std::string body;
};

/// Path of job calls on the peer port.
inline constexpr std::string_view job_call_path = "/jobs";
/// Path of job calls that the receiving daemon, which serves callers, is to forward to the owner.
inline constexpr std::string_view forwarded_call_path = "/jobs/passed-on";

/// Binary encoding for the peer port. The decoders return nothing when the bytes are malformed.
std::string encode(const job_call& call);
std::optional<job_call> decode_call(std::string_view bytes);
std::string encode(const job_reply& reply);
std::optional<job_reply> decode_reply(std::string_view bytes);

} // namespace eelgrassdoor::jobs
