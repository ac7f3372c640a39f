/// \file
/// Defines one attempt to run a request at one target.
#pragma once

#include "net/http_exchange.hpp"
#include "routing/fleet_load.hpp"
#include "serving/service_context.hpp"

#include <memory>
#include <string>

namespace eelgrassdoor::serving {

/// Why a request is at a target; the two kinds of load are counted apart.
enum class work_kind { online, batch };

/// How a target failed, by the error of an exchange with it.
routing::target_failure failure_of(const error& why);

/// Holds a place at a target: counts as load there until it is destroyed.
class target_place {
public:
    target_place(host_context& context, routing::fleet_target target, work_kind kind);
    ~target_place();
    target_place(const target_place&) = delete;
    target_place& operator=(const target_place&) = delete;

    [[nodiscard]] const routing::fleet_target& target() const { return m_target; }

private:
    host_context& m_context;
    routing::fleet_target m_target;
    work_kind m_kind;
};

/// Sends a request over a connection of its own and finds the answer that belongs to it. A new
/// connection costs a round trip, but no answer of an earlier request can arrive on it, and a
/// failure to open it proves that nothing was sent.
class target_exchange {
public:
    target_exchange(host_context& context, const routing::fleet_target& target, work_kind kind)
        : m_context(context), m_place(context, target, kind) {}

    /// Connects, sends \p request and waits until \p answer_by for the head of its answer.
    net::task<result<target_answer>> open(net::http_request request, std::string request_id,
                                          time_point answer_by);
    /// Waits for more of the body, until \p deadline. False when the answer is complete.
    net::task<result<bool>> read_body(time_point deadline);

    /// Waits for the whole answer, until \p deadline.
    net::task<result<void>> read_all(time_point deadline);

    net::http_response& response() { return m_exchange->response(); }
    [[nodiscard]] const routing::fleet_target& target() const { return m_place.target(); }
    /// Ends the exchange at once; whoever waits on it gets an error.
    void close();

private:
    /// The target has said that it leaves: no daemon sends it anything more.
    void note_leaving();

    host_context& m_context;
    target_place m_place;
    std::shared_ptr<net::tcp_connection> m_connection;
    std::unique_ptr<net::http_exchange> m_exchange;
    bool m_closed = false;
};

} // namespace eelgrassdoor::serving
