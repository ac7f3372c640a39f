/// \file
/// Defines the client of the platform's key-value service (the etcd v3 JSON gateway's calls).
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

/// A value and the revision of its last change; revision 0 means that the key does not exist.
struct kv_value {
    std::string value;
    std::int64_t revision = 0;
};

/// A key with its value.
struct kv_entry {
    std::string key;
    kv_value value;
};

/// How a conditional write ended.
enum class swap_outcome { written, lost_race };

/// How the client reaches the service.
struct kv_options {
    std::string url;
    double calls_per_second = 20;
    /// For how long a call waits for the budget before it fails.
    duration budget_wait = seconds(2);
    http::client_options connection{.connect_timeout = milliseconds(1000),
                                    .read_timeout = milliseconds(1500)};
};

/// Reads and conditionally writes keys. Every call may fail with error_code::unavailable.
/// Thread-safe.
class kv_client {
public:
    kv_client(kv_options options, clock_fn clock, observe::observer& events,
              observe::metrics& numbers, const peer::drop_list& drops);

    /// Reads one key.
    result<kv_value> get(std::string_view key);
    /// Reads up to \p limit keys that start with \p prefix and are not below \p from.
    result<std::vector<kv_entry>> list(std::string_view prefix, std::string_view from, int limit);
    /// Writes \p value when the key still has revision \p expected (0: does not exist).
    /// When the answer is lost the key is read back: \p is_ours tells from the value found there
    /// whether the write took effect. Fails with run_state::unknown when that cannot be found out,
    /// and with run_state::not_run when nothing was written.
    result<swap_outcome> swap(std::string_view key, std::int64_t expected, std::string_view value,
                              const std::function<bool(std::string_view)>& is_ours);
    /// Removes a key when it still has revision \p expected.
    result<swap_outcome> remove(std::string_view key, std::int64_t expected);

    /// Whether the latest call was answered.
    [[nodiscard]] bool reachable() const { return m_reachable; }

private:
    /// Posts one call and returns the JSON answer.
    result<std::string> post(std::string_view path, const std::string& body);
    result<swap_outcome> transact(const std::string& body);
    bool wait_for_budget();
    void note_reachable(bool now_reachable);

    const kv_options m_options;
    const std::string m_endpoint;
    observe::observer& m_events;
    observe::metrics& m_numbers;
    const peer::drop_list& m_drops;
    call_budget m_budget;
    http::client_pool m_pool;
    std::atomic<bool> m_reachable{false};
};

} // namespace eelgrassdoor::platform
