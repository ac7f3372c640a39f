/// \file
/// Defines an attempt of a request that begins while another target is silent.
#pragma once

#include "base/error.hpp"
#include "net/notification.hpp"
#include "serving/target_exchange.hpp"

#include <memory>
#include <optional>

namespace eelgrassdoor::entry {

/// An attempt of a request at another target that begins while the current target is silent. The
/// first of the two that goes on serves the request.
struct backup_attempt {
    explicit backup_attempt(const net::asio::any_io_executor& executor) : changed(executor) {}

    /// The target, once one with room has been found.
    std::optional<routing::fleet_target> target;
    /// The exchange with it; null before it is opened.
    std::shared_ptr<serving::target_exchange> exchange;
    time_point sent_at{};
    /// The target's response; valid if `has_taken_over`.
    serving::target_response response;
    /// Why the attempt has failed.
    std::optional<error> failure;
    /// Whether the exchange with the silent target was closed in favour of this attempt.
    bool replaces_silent = false;
    /// Whether this attempt serves the request now.
    bool has_taken_over = false;
    /// Whether the attempt is not needed any more.
    bool withdrawn = false;
    /// Notified when the attempt takes over, fails or is withdrawn.
    net::notification changed;
};

} // namespace eelgrassdoor::entry
