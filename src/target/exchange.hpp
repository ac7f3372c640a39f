/// \file
/// Defines an HTTP exchange with a target whose response is read as a stream, with deadlines.
#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/worker_pool.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrassdoor::http {
class client_pool;
}

namespace eelgrassdoor::target {

/// The request to a target. The caller API selects the headers by an allow-list.
struct target_request {
    std::string method = "POST";
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Whether to open a new connection instead of using a pooled one, so that a failure to connect
    /// proves that nothing was sent.
    bool fresh_connection = false;
};

/// Status and headers of a target's response.
struct response_head {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;

    /// The value of the first header named \p name, ignoring case; empty when there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// Result of a read: bytes, the end of a complete body, no bytes before the deadline, or an error.
enum class read_state { data, end, timeout, failed };

/// The result of one read. Only read_state::data comes with bytes.
struct read_result {
    read_state state = read_state::end;
    std::string data;
};

/// One exchange. It runs on a worker thread, and the owner reads from it with its own deadlines,
/// because a dead connection may not be reported. Destroying the exchange cancels it. All members
/// but cancel() are for one reader at a time.
class exchange {
public:
    /// Queues \p request on \p workers. When they accept no more tasks, wait_for_head() fails with
    /// error_code::overloaded. \p connections must outlive the queued task.
    exchange(worker_pool& workers, http::client_pool& connections, target_request request);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Waits for status and headers. Cancels the exchange and fails with
    /// error_code::deadline_exceeded after \p timeout, and fails with error_code::target_failed for
    /// a status outside 200 to 599. run_state::not_run in an error means that nothing was sent.
    result<response_head> wait_for_head(duration timeout);
    /// Waits up to \p timeout for the next bytes of the body. A timeout does not end the exchange.
    read_result read(duration timeout);
    /// Reads the rest of the body. Fails with error_code::deadline_exceeded when no bytes arrive
    /// for \p timeout_between_bytes, and with error_code::target_failed when the body is incomplete
    /// or longer than \p max_bytes.
    result<std::string> read_all(duration timeout_between_bytes, std::size_t max_bytes);
    /// Closes the connection, so that the target aborts the request; waiting calls then fail. Has
    /// no effect after the end of the exchange. Thread-safe.
    void cancel();

private:
    struct shared_state;
    std::shared_ptr<shared_state> m_state;
};

} // namespace eelgrassdoor::target
