/// \file
/// Defines how a caller's request is run at a target and its answer is passed back.
#pragma once

#include "net/http_server.hpp"
#include "serving/event_stream_parser.hpp"
#include "serving/service_context.hpp"
#include "serving/target_exchange.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassdoor::entry {

using namespace serving;

/// Serves requests of routes that do not take jobs.
class online_service {
public:
    explicit online_service(host_context& context) : m_context(context) {}

    /// Runs an admitted request and answers it.
    net::task<> run(net::server_exchange& caller, caller_request request,
                    const config::serving_route& route, std::string customer);

private:
    /// One request on its way.
    struct running_request {
        net::server_exchange& caller;
        caller_request request;
        const config::serving_route& route;
        std::string customer;
        std::string service;
        time_point deadline;
        /// Targets that are not tried again.
        std::set<std::string, std::less<>> excluded;
        /// Targets that may have run the request.
        int runs = 0;
        /// Targets that could not be reached or did not run it.
        int refusals = 0;
        /// The last event that was passed on.
        std::optional<std::uint64_t> last_event;
        /// Whether the head of the answer was passed on.
        bool begun = false;
        std::size_t events = 0;
        duration first_event_after{};
        /// When the latest attempt was sent to its target.
        time_point sent_at{};
        std::shared_ptr<target_exchange> active;
    };
    enum class step { done, try_another };

    net::task<step> attempt(running_request& run, const routing::fleet_target& target);
    net::task<step> relay(running_request& run, target_answer answer);
    net::task<step> relay_stream(running_request& run);
    net::task<step> relay_whole(running_request& run);
    /// Passes whole events on; false when the caller has gone.
    net::task<bool> pass_events(running_request& run, std::vector<stream_event> events);
    /// Decides after a failure: another target, or the final answer.
    net::task<step> after_failure(running_request& run, error failure);
    net::task<> finish_with(running_request& run, error failure);

    [[nodiscard]] bool may_run_again(const running_request& run) const;
    [[nodiscard]] time_point answer_by(const running_request& run) const;
    [[nodiscard]] error no_target(const running_request& run) const;
    void log_end(const running_request& run, std::string_view outcome) const;

    host_context& m_context;
};

} // namespace eelgrassdoor::entry
