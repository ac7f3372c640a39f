/// \file
/// Defines the call by which a daemon has another one send a request to a target.
#pragma once

#include "net/http_message.hpp"
#include "serving/crash_detector.hpp"
#include "serving/target_process.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::serving {

/// Where a relayed request goes. Travels in headers of the request, which is otherwise sent as the
/// target is to receive it.
struct relay_order {
    target_process process;
    process_check check = process_check::none;
    /// Id of the request, which the target's response names.
    std::string request;
    /// Whether the relaying daemon's quarantine holds the request back. The segments are those of
    /// the request itself.
    gate_kind gate = gate_kind::open;
    /// Fingerprint of the whole request; see crash_suspects.
    std::optional<std::uint64_t> fingerprint;
};

/// Why a daemon has not sent a request to its target.
enum class relay_refusal {
    /// It reaches no target itself.
    partitioned,
    /// It reaches other targets, but not this one.
    unreachable,
    /// The target has accepted its connection and not answered on it in time.
    target_silent,
    /// The target has announced to it that it shuts down.
    target_leaving,
    /// The target does not run the process that must get the request.
    other_process,
    /// It relays as many requests as it can.
    busy,
    /// It is shutting down.
    stopping,
    /// Targets crash on the request.
    quarantined,
};

/// Whether \p request is to be relayed.
bool is_relay_call(const net::http_request& request);
/// Adds \p order to \p request.
void add_relay_order(net::http_request& request, const relay_order& order);
/// Removes the order from \p request and returns it; nothing when it is malformed.
std::optional<relay_order> take_relay_order(net::http_request& request);

/// The response that tells that the request was not sent.
net::http_response make_refusal(relay_refusal reason);
/// The reason if \p response is such a one, as opposed to one of the target. A reason that this
/// build does not know counts as relay_refusal::unreachable.
std::optional<relay_refusal> refusal_of(const net::http_response& response);
/// Removes from a target's response what only the relay may add.
void remove_relay_headers(net::http_response& response);
/// Adds to a target's response when the process that sent it started.
void add_process_start(net::http_response& response, std::uint64_t started_at);
/// Removes that from \p response and returns it; nothing when it is missing or malformed.
std::optional<std::uint64_t> take_process_start(net::http_response& response);

} // namespace eelgrassdoor::serving
