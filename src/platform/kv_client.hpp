/// \file
/// Defines the client of the platform's key-value service, which speaks the JSON protocol of the
/// etcd v3 gateway.
#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"
#include "http/client_pool.hpp"
#include "observe/event_recorder.hpp"
#include "observe/metrics.hpp"
#include "peer/drop_list.hpp"
#include "platform/call_rate_limiter.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::platform {

/// A value and the store revision of its last change. Revision 0 means that the key does not exist.
struct kv_value {
    std::string value;
    std::int64_t revision = 0;
};

/// A key with its value.
struct kv_entry {
    std::string key;
    kv_value value;
};

/// Outcome of a conditional write: written, or rejected because the key has another revision.
enum class swap_outcome { written, conflict };

/// Options of the client.
struct kv_options {
    /// `http://ADDRESS:PORT` of the service.
    std::string url;
    /// Limit of calls per second; also the largest burst.
    double calls_per_second = 20;
    /// Longest time that a call waits for the rate limiter before it fails.
    duration max_rate_limit_wait = seconds(2);
    http::client_options connection{.connect_timeout = milliseconds(1000),
                                    .read_timeout = milliseconds(1500)};
};

/// Reads and conditionally writes keys. A call blocks for the rate limiter and for the timeouts of
/// kv_options::connection. It fails with error_code::unavailable when the rate limit is exceeded
/// for too long, or when the service does not respond or reports an error. Thread-safe.
class kv_client {
public:
    /// The references must outlive the client. \p drops simulates network partitions in tests.
    kv_client(kv_options options, clock_fn clock, observe::event_recorder& events,
              observe::metrics& metrics, const peer::drop_list& drops);

    /// Reads one key; the revision is 0 when it does not exist.
    result<kv_value> get(std::string_view key);
    /// Reads up to \p limit keys, in order, that start with \p prefix and are not less than \p
    /// from. With an empty \p from and a \p limit of 1, reads only the key that equals \p prefix.
    result<std::vector<kv_entry>> list(std::string_view prefix, std::string_view from, int limit);
    /// Writes \p value when the key still has revision \p expected (0: does not exist).
    /// When the response is lost, the key is read back, and \p is_own_write decides from the stored
    /// value whether this write took effect. Fails with error_code::outcome_unknown when that
    /// cannot be determined, and with run_state::not_run when nothing was written.
    result<swap_outcome>
    compare_and_swap(std::string_view key, std::int64_t expected, std::string_view value,
                     const std::function<bool(std::string_view)>& is_own_write);
    /// Removes \p key when it still has revision \p expected. Fails with run_state::unknown when
    /// the response is lost; the key is not read back.
    result<swap_outcome> remove(std::string_view key, std::int64_t expected);

    /// Whether the latest call that passed the rate limiter succeeded; false before the first one.
    [[nodiscard]] bool reachable() const { return m_reachable; }

private:
    /// Sends one call and returns the JSON text of the response.
    result<std::string> post(std::string_view path, const std::string& body);
    result<swap_outcome> transact(const std::string& body);
    bool wait_for_rate_limit();
    void set_reachable(bool now_reachable);

    const kv_options m_options;
    const std::string m_endpoint;
    observe::event_recorder& m_events;
    observe::metrics& m_metrics;
    const peer::drop_list& m_drops;
    call_rate_limiter m_rate_limiter;
    http::client_pool m_pool;
    std::atomic<bool> m_reachable{false};
};

} // namespace eelgrassdoor::platform
