/// \file
/// Defines the proxy that runs online requests at targets and relays their responses.
#pragma once

#include "entry/running_request.hpp"
#include "entry/target_queues.hpp"
#include "net/http_server.hpp"
#include "serving/event_stream_parser.hpp"
#include "serving/service_context.hpp"
#include "serving/target_exchange.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassdoor::entry {

using namespace serving;

/// Serves requests of routes that do not take jobs. Runs on the event loop's thread; the context
/// must outlive it.
class online_proxy {
public:
    explicit online_proxy(service_context& context) : m_context(context), m_queues(context) {}

    /// Runs an admitted request at a target and relays the response. After a failure it is sent to
    /// another target when the route's retry rules allow it; otherwise the caller gets an error
    /// response, or an incomplete stream when one has begun. \p caller_exchange and \p route must
    /// stay valid until the task ends.
    net::task<> run(net::server_exchange& caller_exchange, caller_request request,
                    const config::serving_route& route, std::string customer);

private:
    /// Whether the request is finished or is to be sent to another target.
    enum class attempt_outcome { done, retry };
    /// Limit of attempts per request that are refused or fail to connect; at the last one the
    /// request fails.
    static constexpr int max_refusals = 4;
    /// Silence of a target, before its response or between the events of a stream, after which
    /// another one is tried beside it. Targets send an event every 20 ms, and a request waits in
    /// the queue of a full target for far less.
    static constexpr duration silence_timeout = milliseconds(1000);
    /// Interval at which another target is looked for while the silence lasts.
    static constexpr duration backup_interval = milliseconds(100);
    /// Time in which a target refuses a request that it does not run. Shorter than the time for
    /// which two targets may work on one request.
    static constexpr duration refusal_timeout = milliseconds(200);
    /// How long a begun stream, which has fewer targets to choose from than a new one, waits for
    /// one of them to have room. Callers give a stream up after a pause of 2 s.
    static constexpr duration resume_patience = milliseconds(1000);
    /// A request with less time than this until its deadline is not retried.
    static constexpr duration min_retry_time = milliseconds(50);

    /// Picks a target and obtains the permit that a limited one needs; nothing when no target can
    /// take the request now.
    net::task<std::optional<routing::fleet_target>> pick_target(const running_request& run);
    /// The same, but waits for a target with room: in the queue if the deployment has one;
    /// otherwise for a moment if the stream has begun and its version is in service.
    net::task<std::optional<routing::fleet_target>> wait_for_target(running_request& run);
    /// Waits in the order of routing::placement_queue. Without a target, running_request's
    /// retry_after is set.
    net::task<std::optional<routing::fleet_target>> wait_in_queue(running_request& run);
    /// Waits until the request \p id has found a target, has lost its place, or cannot be served.
    /// \p is_first tells that it may look for one at once.
    net::task<std::optional<routing::fleet_target>>
    wait_for_place(running_request& run, routing::placement_id id, bool is_first);
    [[nodiscard]] routing::placement_request
    make_placement_request(const running_request& run) const;
    /// Whether a target may come to have room for the request.
    [[nodiscard]] bool may_find_place(const running_request& run) const;
    /// Restricts a stream that the caller resumes to the targets of the software version that began
    /// it. Returns false if the request is refused because nobody knows that version while several
    /// may have begun the stream, or if the caller has disconnected.
    net::task<bool> find_version(running_request& run);
    /// The version that must have begun a stream that nobody knows, if only one can have.
    net::task<std::optional<std::string>> deduce_version(const running_request& run);
    /// Stores, before the first event of a stream that may be resumed is sent, that streams begin
    /// on the version of the process that sent it.
    net::task<> publish_version(const running_request& run);
    /// Restricts a stream, when its first event is sent, to the version of the process that sent
    /// it, and lets other daemons know that version, or that it is unknown.
    void record_version(running_request& run) const;
    /// Encodes the request for \p target as it is at the moment of the call. \p run must outlive
    /// the function.
    [[nodiscard]] target_exchange::make_request_fn
    message_maker(const running_request& run, const routing::fleet_target& target) const;
    /// What has to be known of the process that gets the request next.
    [[nodiscard]] static process_check process_check_for(const running_request& run);
    /// What holds the request back when it is about to be sent.
    [[nodiscard]] static quarantine_gate gate_for(const running_request& run);
    /// Ends an attempt that was not sent because of \p why, a quarantine. A backup that has been
    /// sent goes on.
    net::task<attempt_outcome> withhold(running_request& run, error why);
    net::task<attempt_outcome> attempt(running_request& run, const routing::fleet_target& target);
    net::task<attempt_outcome> relay(running_request& run, target_response response);
    net::task<attempt_outcome> relay_stream(running_request& run);
    net::task<attempt_outcome> relay_full_response(running_request& run);
    /// Whether a response without framing counts as complete only once a run that goes on after
    /// the last event has brought none: the route allows that run, and the caller can have the
    /// stream taken up.
    [[nodiscard]] bool needs_rest(const running_request& run) const;
    /// Whether that run has time.
    [[nodiscard]] bool can_ask_for_rest(const running_request& run) const;
    /// Ends the attempt, and has another run asked for what follows the last event.
    attempt_outcome ask_for_rest(running_request& run) const;
    /// Ends the response to the caller, which is complete.
    net::task<> finish_stream(running_request& run);
    /// Sends complete events to the caller and skips those that it already has. Returns false when
    /// the caller has disconnected.
    net::task<bool> forward_events(running_request& run, std::vector<stream_event> events);
    /// Has the target checked for a crash when it closed the connection before its first event.
    void check_target(const running_request& run, const error& failure);
    /// The error of an attempt whose target is given up for a backup.
    [[nodiscard]] static error silence_error();
    /// Records a failure of the current target, then handles the failed attempt.
    net::task<attempt_outcome> handle_target_failure(running_request& run, error failure);
    /// Counts and logs a failed attempt, then either requests a retry or sends the error to the
    /// caller.
    net::task<attempt_outcome> handle_failure(running_request& run, error failure);
    void count_failure(running_request& run, std::string_view target, const error& failure) const;
    /// Requests a retry after \p failure, which has been counted, if the rules of the route allow
    /// one; otherwise sends the error to the caller.
    net::task<attempt_outcome> retry_or_fail(running_request& run, error failure);
    /// Whether all targets that may refuse a request have answered that they do not run the rest.
    [[nodiscard]] static bool is_rest_refused(const running_request& run);
    /// Sends \p failure as an error response, or aborts the connection when a stream has begun.
    net::task<> respond_with_error(running_request& run, error failure);

    /// Whether a request that may have run can be sent again: the route must be idempotent and have
    /// attempts left.
    [[nodiscard]] bool may_retry(const running_request& run) const;
    /// Whether the route allows another attempt beside those that have not ended, which count as
    /// runs.
    [[nodiscard]] bool has_attempts_left(const running_request& run) const;
    /// Whether another attempt may begin while the current target is silent.
    [[nodiscard]] bool may_back_up(const running_request& run) const;
    /// Starts another attempt because the current target is silent, or supervises the one that
    /// runs. Called repeatedly during the silence.
    void handle_silence(const std::shared_ptr<running_request>& run);
    /// Replaces a backup whose target is silent as well. Closes a silent target that cannot show
    /// whether it goes on once the backup's target has not refused the request.
    void supervise_backup(running_request& run);
    /// Closes the exchange with the silent target in favour of the backup.
    static void close_silent(running_request& run);
    /// Silence after which a response of \p route, for which the caller waits \p wait at most, is
    /// backed up.
    [[nodiscard]] duration silence_timeout_of(const config::serving_route& route,
                                              duration wait) const;
    net::task<> back_up(std::shared_ptr<running_request> run,
                        std::shared_ptr<backup_attempt> backup);
    /// Ends the backup attempt, if any, because it is not needed.
    void withdraw_backup(running_request& run) const;
    /// Waits until the backup attempt has taken over or failed, and goes on with it.
    net::task<attempt_outcome> continue_at_backup(running_request& run);
    /// Why a backup attempt at \p target cannot serve the request; nothing if it can.
    [[nodiscard]] std::optional<error>
    backup_failure(const running_request& run, const routing::fleet_target& target,
                   const result<target_response>& response) const;
    /// The error for a request that no further target can take.
    [[nodiscard]] error no_target_error(const running_request& run) const;
    void log_finished(const running_request& run, std::string_view outcome) const;

    service_context& m_context;
    target_queues m_queues;
};

} // namespace eelgrassdoor::entry
