/// \file
/// Defines how a daemon tells whether a response that ended with its connection is complete.
#pragma once

#include "serving/service_context.hpp"
#include "serving/target_process.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace eelgrassdoor::serving {

/// The end of one response without framing. Its connection ends in the same way whether the target
/// has finished the response, its process was killed, or something between this host and the
/// target, such as a proxy, has closed it. While the response arrives, a second connection to the
/// target, the witness, is open: a target that has finished the response leaves it open and answers
/// on it. Runs on the event loop's thread; the context must outlive it.
class response_end {
public:
    /// \p process sends the response over \p response.
    response_end(service_context& context, target_process process,
                 std::shared_ptr<net::tcp_connection> response);
    ~response_end();
    response_end(const response_end&) = delete;
    response_end& operator=(const response_end&) = delete;

    /// Opens the witness, or another one if the target has closed it for being idle. Call whenever
    /// a part of the response has arrived.
    void watch();
    /// Confirms that the response is complete after its connection was closed in order. Ends at
    /// \p deadline, or once \p is_cancelled returns true. An error has run_state::unknown.
    net::task<result<void>> confirm(time_point deadline, std::function<bool()> is_cancelled);

private:
    struct witness;

    static net::task<> open(service_context& context, target_process process,
                            std::shared_ptr<net::tcp_connection> response,
                            std::shared_ptr<witness> opened);
    /// Whether the witness was closed in order at \p since or later.
    [[nodiscard]] bool is_witness_closed(time_point since) const;
    /// Logs \p reason and returns the error for the caller.
    [[nodiscard]] error unconfirmed(std::string_view reason) const;

    service_context& m_context;
    target_process m_process;
    std::shared_ptr<net::tcp_connection> m_response;
    std::shared_ptr<witness> m_witness;
    /// Whether the response and the witness had ended when a part that was sent before was read.
    bool m_has_ended_with_witness = false;
};

} // namespace eelgrassdoor::serving
