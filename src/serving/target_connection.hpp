/// \file
/// Defines what an attempt at a target and a relayed one have in common.
#pragma once

#include "net/http_exchange.hpp"
#include "routing/target_instance.hpp"
#include "serving/service_context.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrassdoor::serving {

/// Timeout for connecting to a target or to a daemon that relays. A round trip between zones takes
/// a few milliseconds, and the kernel accepts connections even when the target is busy, so only a
/// target that vanished without a reset exceeds it. Two such timeouts leave half of the shortest
/// latency objective.
inline constexpr duration target_connect_timeout = milliseconds(75);
/// Size limits of a response, which may be held in memory as a whole.
inline constexpr net::parse_limits target_response_limits{.max_header_bytes = 32 * 1024,
                                                          .max_body_bytes = 16ULL * 1024 * 1024};

/// Connects to \p target at \p endpoint (`IP:PORT`) until \p deadline. Fails like
/// net::http_client::connect(), always with run_state::not_run, and calls record_no_response()
/// then.
net::task<result<std::shared_ptr<net::tcp_connection>>> connect_to_target(service_context& context,
                                                                          std::string target,
                                                                          std::string endpoint,
                                                                          time_point deadline);

/// Reads the heads of responses until that of the response to \p request_id arrives; a few
/// responses to other requests are skipped. Calls \p on_head with each.
net::task<result<target_response>>
read_matching_head(const protocol_codec& codec, net::http_exchange& exchange,
                   std::string request_id, std::function<void(const target_response&)> on_head);

/// Record that a target has responded to this host, or that it has not, and log when that changes
/// whether this host reaches targets.
void record_response(service_context& context, std::string_view target);
void record_no_response(service_context& context, std::string_view target, std::string_view reason);
/// Records \p failure of a request at a target. While this host reaches no target, an unreachable
/// one is not to blame, nor is one that runs another process.
void record_target_failure(service_context& context, std::string_view target, const error& failure);

/// Records the end of \p connection in the middle of a response of \p target, if the connection was
/// closed in order and not by this host.
void record_cut_off(service_context& context, std::string_view target,
                    net::tcp_connection& connection);

/// Records that a target is shutting down, so that no daemon sends it further requests.
void mark_leaving(service_context& context, std::string_view target,
                  const routing::target_instance& instance);

} // namespace eelgrassdoor::serving
