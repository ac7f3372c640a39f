/// \file
/// Defines one attempt to run a request at one target.
#pragma once

#include "net/http_exchange.hpp"
#include "routing/fleet_load.hpp"
#include "serving/crash_detector.hpp"
#include "serving/relay_call.hpp"
#include "serving/response_end.hpp"
#include "serving/service_context.hpp"
#include "serving/target_process.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassdoor::serving {

using routing::work_kind;

/// Counts one request as load on a target for as long as it exists.
class target_load_guard {
public:
    target_load_guard(service_context& context, routing::fleet_target target, work_kind kind);
    ~target_load_guard();
    target_load_guard(const target_load_guard&) = delete;
    target_load_guard& operator=(const target_load_guard&) = delete;

    [[nodiscard]] const routing::fleet_target& target() const { return m_target; }

private:
    service_context& m_context;
    routing::fleet_target m_target;
    work_kind m_kind;
};

/// Sends a request over a new connection and reads the response that belongs to it. On a new
/// connection no response to a request of another caller can arrive, and a failure to open it, or
/// to learn which process is at its other end, proves that nothing was sent. While this host
/// reaches no target, another daemon sends the request for it. Counts as load on the target for as
/// long as it exists. Runs on the event loop's thread.
class target_exchange {
public:
    /// Encodes the request at the moment at which it is sent.
    using make_request_fn = std::function<net::http_request()>;

    /// \p is_repeatable: whether the request may be sent again if the target does not respond.
    target_exchange(service_context& context, const routing::fleet_target& target, work_kind kind,
                    bool is_repeatable)
        : m_context(context), m_load_guard(context, target, kind), m_is_repeatable(is_repeatable) {}

    /// Whether the request may still be sent; asked right before. Unset stands for true.
    std::function<bool()> may_send;

    /// Connects to a process that passes \p check, sends the request unless \p gate holds it back
    /// at that moment, and waits until \p response_deadline for the headers of the response to
    /// \p request_id. Responses to other requests are skipped. The error's run state tells whether
    /// the target may have run the request. Must be called before the other members that read.
    net::task<result<target_response>> open(make_request_fn make_request, std::string request_id,
                                            time_point response_deadline, process_check check,
                                            quarantine_gate gate);
    /// Whether open() has failed because may_send() was false or the request is in quarantine, here
    /// or at the daemon that was asked to relay it. The failure is none of the target.
    [[nodiscard]] bool is_withheld() const { return m_is_withheld; }
    /// Software version of the process that has the request; nothing when it is not known to be the
    /// process of the target's entry.
    [[nodiscard]] std::optional<std::string> software_version() const;
    /// Appends the next bytes of the body to response(), waiting until \p deadline at most. Returns
    /// false when the response is complete. One that ends with its connection is complete if
    /// response_end confirms that.
    net::task<result<bool>> read_body(time_point deadline);

    /// Reads the rest of the response into response(), waiting until \p deadline at most.
    net::task<result<void>> read_all(time_point deadline);

    /// The response as far as it has been read; valid after open() has succeeded.
    net::http_response& response() { return m_exchange->response(); }
    [[nodiscard]] const routing::fleet_target& target() const { return m_load_guard.target(); }
    /// Closes the connection at once; pending operations fail.
    void close();

private:
    /// Connects to the target itself.
    net::task<result<void>> connect(time_point response_deadline, process_check check);
    /// Takes over a new connection; closes it if the exchange was closed meanwhile.
    void use(const std::shared_ptr<net::tcp_connection>& connection);
    [[nodiscard]] static error closed_error();
    /// Confirms the end of a response that ended with its connection.
    net::task<result<void>> confirm_end(time_point deadline);
    /// Has the end of a response without framing watched. Call when a part of it has arrived.
    void watch_end();
    /// Records that the connection was closed before the end of the response.
    void record_cut_off();
    /// Why the request must not be sent now, if so; the connection is closed then.
    std::optional<error> withhold();
    /// Starts to send \p request over the connection.
    void send(const net::http_request& request);
    /// Sends \p request to the target and reads the head of the response to \p request_id.
    net::task<result<target_response>> call_target(net::http_request request,
                                                   std::string request_id);
    /// Has another daemon send \p request to the target, and reads the head of the response.
    net::task<result<target_response>> call_through_relay(make_request_fn make_request,
                                                          std::string request_id,
                                                          time_point response_deadline,
                                                          process_check check);
    /// What a daemon that was asked to relay the request has answered.
    struct relay_outcome {
        std::optional<relay_refusal> refusal;
        target_response response;
    };
    /// The same through one daemon.
    net::task<result<relay_outcome>> call_relay(fleet::member relay, net::http_request request,
                                                std::string request_id,
                                                time_point response_deadline, process_check check);
    [[nodiscard]] routing::target_instance instance() const;
    [[nodiscard]] target_process listed() const;
    /// Takes over what the head of a response says about the target.
    void record_head(const target_response& response);
    /// Records the request limit that \p response names, or that it names none.
    void record_limit(const target_response& response);

    service_context& m_context;
    target_load_guard m_load_guard;
    bool m_is_repeatable;
    quarantine_gate m_gate;
    bool m_is_withheld = false;
    /// Whether a daemon that reaches targets could not send the request to the listed process.
    /// Others, and this one, would not reach it either.
    bool m_is_refused = false;
    std::shared_ptr<net::tcp_connection> m_connection;
    std::unique_ptr<net::http_exchange> m_exchange;
    /// Start time of the process that has the request; nothing while it is not known.
    std::optional<std::uint64_t> m_process_started_at;
    time_point m_sent_at{};
    /// Null unless the response comes from the target itself, without framing.
    std::unique_ptr<response_end> m_end;
    bool m_is_end_confirmed = false;
    /// Whether the connection leads to another daemon, which relays the request.
    bool m_is_relayed = false;
    bool m_closed = false;
};

} // namespace eelgrassdoor::serving
