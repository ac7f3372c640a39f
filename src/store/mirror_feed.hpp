/// \file
/// Defines how a mirror is kept up to date from the key-value service.
#pragma once

#include "observe/decision_log.hpp"
#include "store/kv_store.hpp"
#include "store/mirror.hpp"

#include <map>
#include <string>

namespace eelgrassdoor::store {

/// How one prefix is followed.
struct feed_options {
    /// Changes that come within this time after others are fetched together; a change that nobody
    /// waits for may come later and cost fewer calls.
    duration coalescing_delay{};
    /// Whether every daemon watches the prefix, whatever must_watch says.
    bool always_watched = false;
};

/// Watches prefixes of a mirror, and reads one anew when the store has dropped its history. While
/// other daemons watch in its place, it only looks now and then by cheap stale reads.
class mirror_feed {
public:
    mirror_feed(net::asio::any_io_executor executor, kv_store& store, mirror& target,
                clock_fn clock, observe::decision_log& log);

    /// Whether this daemon has to watch by itself.
    std::function<bool()> must_watch = [] { return true; };
    void set_options(std::string_view prefix, feed_options options) {
        m_options[std::string(prefix)] = options;
    }
    /// Another call of this daemon to the store was answered or failed.
    void note_call_result(bool answered, std::string_view reason) {
        update_connectivity(answered, reason);
    }

    void start();

    /// Since when the store answers without a gap; time_point::max() while it does not.
    [[nodiscard]] time_point connected_since() const { return m_connected_since; }
    /// How long it did not answer before that.
    [[nodiscard]] duration last_outage() const { return m_last_outage; }

private:
    /// How far a prefix has been followed.
    struct feed_position {
        bool must_read = true;
        /// The watch goes on behind this revision; 0 before the first read.
        std::uint64_t revision = 0;
    };

    net::task<> follow(std::string prefix);
    /// Takes one step for a prefix; returns why it failed, or an empty text.
    net::task<std::string> follow_step(const std::string& prefix, feed_position& at);
    net::task<std::string> poll_prefix(const std::string& prefix);
    net::task<result<std::uint64_t>> read_all(std::string prefix, consistency how);
    [[nodiscard]] feed_options options_of(const std::string& prefix) const;
    void update_connectivity(bool answered, std::string_view reason);

    net::asio::any_io_executor m_executor;
    kv_store& m_store;
    mirror& m_mirror;
    std::map<std::string, feed_options> m_options;
    clock_fn m_clock;
    observe::decision_log& m_log;
    time_point m_last_answer_at{};
    time_point m_connected_since = time_point::max();
    duration m_last_outage{};
};

} // namespace eelgrassdoor::store
