/// \file
/// Defines how a daemon tells which process of a target answers it. A target may restart under its
/// id and at its address, with another software version, while its entry still describes the
/// process before. A connection leads to one process for as long as it lasts.
#pragma once

#include "net/tcp_connection.hpp"
#include "serving/service_context.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassdoor::serving {

/// What has to be known of the process that gets a request. The values are part of the calls
/// between daemons.
enum class process_check : std::uint8_t {
    /// Nothing: no other run will go on with its response.
    none = 0,
    /// Which one it is, if it tells.
    identify = 1,
    /// That it is the process of the target's entry; no other one gets the request.
    require_listed = 2,
};

/// A process of a target and where it answers.
struct target_process {
    std::string target;
    /// `IP:PORT`.
    std::string endpoint;
    /// Start time in Unix milliseconds.
    std::uint64_t started_at = 0;
};

/// A connection to a target and the process at its other end.
struct process_connection {
    std::shared_ptr<net::tcp_connection> connection;
    /// Start time of the process in Unix milliseconds; nothing when it was not asked or does not
    /// tell.
    std::optional<std::uint64_t> started_at;
};

/// Called with the connection to close to end an operation, when it has been opened and when it
/// takes the place of another one.
using on_open_fn = std::function<void(const std::shared_ptr<net::tcp_connection>&)>;

/// Opens a connection to a target and asks the process at the other end when it started, as \p
/// check demands. It is asked over another connection, which is opened before and answers after the
/// returned one has been opened, and so leads to the same process: a target may end a connection
/// that has carried a response while a request is on its way. The returned connection has carried
/// nothing, unless the target has taken no second one. All of it ends at \p deadline, which stays
/// set. An error has run_state::not_run, and error_code::overloaded when the target has accepted a
/// connection but not told anything.
net::task<result<process_connection>> connect_to_process(service_context& context,
                                                         target_process listed, process_check check,
                                                         time_point deadline, on_open_fn on_open);
/// Whether \p failure of connect_to_process() means that the target has told that it runs another
/// process or is shutting down, which is no failure of the target.
[[nodiscard]] bool is_other_process(const error& failure);

/// A sound target may be silent for about a second.
inline constexpr duration confirm_timeout = milliseconds(1500);
/// Which process is at the other end of a connection.
enum class process_answer {
    /// The expected one.
    same,
    /// Another one, or one that does not tell.
    other,
    /// It has not answered.
    none,
};
/// Asks over \p connection, which stays open, whether it leads to \p process. Waits for
/// confirm_timeout, and until \p deadline at most.
net::task<process_answer> ask_for_process(service_context& context,
                                          std::shared_ptr<net::tcp_connection> connection,
                                          target_process process, time_point deadline);
/// Confirms that \p process still answers, over a new connection. Ends after confirm_timeout, at \p
/// deadline, or once \p is_cancelled returns true. An error has run_state::unknown.
net::task<result<void>> confirm_running(service_context& context, target_process process,
                                        time_point deadline, std::function<bool()> is_cancelled);

} // namespace eelgrassdoor::serving
