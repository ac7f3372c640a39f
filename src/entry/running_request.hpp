/// \file
/// Defines the state of an online request while it is being served.
#pragma once

#include "entry/backup_attempt.hpp"
#include "entry/silence_timer.hpp"
#include "net/http_server.hpp"
#include "net/notification.hpp"
#include "routing/target_constraints.hpp"
#include "serving/crash_detector.hpp"
#include "serving/target_exchange.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassdoor::entry {

/// One request across its attempts.
struct running_request {
    net::server_exchange& caller_exchange;
    serving::caller_request request;
    const config::serving_route& route;
    std::string customer;
    std::string service;
    time_point deadline;
    /// Rules out the targets that are not tried again.
    routing::target_constraints constraints;
    /// Attempts that have ended and in which the target may have run the request.
    int runs = 0;
    /// Attempts in which the target could not be reached or did not run the request.
    int refusals = 0;
    /// Id of the last event sent to the caller.
    std::optional<std::uint64_t> last_event;
    /// Whether the request is sent on trial although it is in quarantine.
    bool is_trial = false;
    /// Whether the response headers of a stream have been sent to the caller.
    bool headers_sent = false;
    /// Whether the response is read as a whole before any of it is sent to the caller.
    bool relays_full_response = false;
    /// Whether a part of the response waits to be written to the caller. Nothing is read from the
    /// target meanwhile.
    bool waits_for_caller = false;
    /// Whether an event without id was sent to the caller, so that no target can go on with the
    /// stream.
    bool has_unnumbered_event = false;
    /// Events sent to the caller.
    std::size_t events = 0;
    /// Time from the arrival of the request to its first event.
    duration time_to_first_event{};
    /// What a crash of a target may be due to.
    serving::crash_suspects suspects;
    /// Reads of the current attempt that brought events.
    std::size_t reads_with_events = 0;
    /// Attempts whose responses ended right after their heads, without framing.
    int empty_rests = 0;
    /// Id of the event after which a response without framing ended, as if it were complete;
    /// nothing once another run has shown a part of a further event.
    std::optional<std::uint64_t> closed_after;
    /// Attempts in which a target answered that it does not run the request for what follows the
    /// last event.
    int refused_rests = 0;
    /// When the latest attempt was sent to its target.
    time_point sent_at{};
    /// Wakes the request while it waits for a place at a target; null otherwise.
    std::shared_ptr<net::notification> place_wake;
    /// When a caller that is refused for want of a place may try again.
    duration retry_after = seconds(1);
    /// The exchange of the current attempt; null between attempts.
    std::shared_ptr<serving::target_exchange> active_exchange;
    /// Restarted by all that the current target sends; null once the request has ended.
    std::shared_ptr<silence_timer> silence;
    /// Null unless the current target is, or was, silent.
    std::shared_ptr<backup_attempt> backup;

    /// Whether another target can serve the rest: the response has not begun, or is a stream that
    /// can be resumed, of a known software version.
    [[nodiscard]] bool can_go_on() const {
        return !headers_sent || (route.resumable && constraints.version && !has_unnumbered_event);
    }
    /// Whether a response without framing has ended after the caller's last event.
    [[nodiscard]] bool has_closed_after_last_event() const {
        return last_event && closed_after == last_event;
    }
    /// Whether the exchange with the current target was closed in favour of the backup.
    [[nodiscard]] bool is_superseded() const { return backup && backup->replaces_silent; }
};

} // namespace eelgrassdoor::entry
