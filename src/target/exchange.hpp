/// \file
/// Defines one HTTP exchange with a target, read as a stream with deadlines.
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

/// What is sent to a target. Headers are an allow-list made by the caller API.
struct target_request {
    std::string method = "POST";
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Whether a connection must be used that carried nothing before, so that a failure to
    /// connect proves that nothing was sent.
    bool fresh_connection = false;
};

/// The start of a target's answer.
struct response_head {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;

    /// The value of a header, compared without case, or an empty text.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

enum class read_state { data, end, timeout, failed };

/// What one read gave.
struct read_result {
    read_state state = read_state::end;
    std::string data;
};

/// One exchange. It runs on a worker thread; the owner reads from it with its own deadlines, as a
/// silent connection gives no sign. Destroying the exchange closes its connection.
class exchange {
public:
    exchange(worker_pool& workers, http::client_pool& connections, target_request request);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Waits for status and headers. The error says whether anything was sent.
    result<response_head> wait_for_head(duration timeout);
    /// Waits for the next bytes of the body.
    read_result read(duration timeout);
    /// Reads the rest of the body; fails when it is incomplete, too long or late.
    result<std::string> read_all(duration timeout_between_bytes, std::size_t max_bytes);
    /// Closes the connection, so that the target stops the work.
    void cancel();

private:
    struct shared_state;
    std::shared_ptr<shared_state> m_state;
};

} // namespace eelgrassdoor::target
