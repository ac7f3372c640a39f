/// \file
/// Defines the synchronization of a mirror with the key-value service.
#pragma once

#include "net/notification.hpp"
#include "observe/decision_log.hpp"
#include "store/kv_store.hpp"
#include "store/mirror.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassdoor::store {

/// Options for one prefix.
struct feed_options {
    /// Delay between a received change and the next watch, so that changes in this time are fetched
    /// with one call. For prefixes where latency matters less than the number of calls.
    duration coalescing_delay{};
    /// Maximum wait of one watch. The store counts a waiting watch as one call, so a longer wait is
    /// cheaper, but a change is missed for up to this time if the response is lost.
    duration watch_wait = seconds(10);
    /// Whether this daemon watches the prefix regardless of mirror_feed::must_watch.
    bool always_watched = false;
};

/// What is known of how current the replica of one prefix is.
struct feed_status {
    /// Last time at which the store responded to a read or watch of the prefix; time_point::min()
    /// before the first response.
    time_point confirmed_at = time_point::min();
    /// Start of the outstanding read or watch; time_point::max() if there is none.
    time_point waiting_since = time_point::max();
};

/// Watches the prefixes of a mirror, and reads one again when the store has compacted the history
/// of its watch. While another daemon watches instead, it only polls with cheap stale reads. Not
/// thread-safe: runs on the executor given at construction.
class mirror_feed {
public:
    mirror_feed(net::asio::any_io_executor executor, kv_store& store, mirror& mirrored,
                clock_fn clock, observe::decision_log& log);

    /// Whether this daemon has to watch the store itself; polled while a prefix is followed. Always
    /// true unless set.
    std::function<bool()> must_watch = [] { return true; };
    /// Sets the options of a prefix; effective from its next read or watch.
    void set_options(std::string_view prefix, feed_options options) {
        m_options[std::string(prefix)] = options;
    }
    /// Records whether the store responded to a call made outside this class, and otherwise the
    /// reason. Counts for connected_since() like the calls of this class.
    void record_call_result(bool responded, std::string_view reason) {
        update_connectivity(responded, reason);
    }

    /// Brings the replica of \p prefix up to date with the store by a linearizable call. Returns
    /// false when the store does not answer.
    net::task<bool> refresh(std::string prefix);

    /// Starts to follow all prefixes.
    void start();

    /// Start of the current period without failed calls; time_point::max() if the last call failed
    /// or none was made.
    [[nodiscard]] time_point connected_since() const { return m_connected_since; }
    /// Time from the last response before connected_since() until then. Of no meaning until the
    /// store has failed to respond after a first response.
    [[nodiscard]] duration last_outage() const { return m_last_outage; }
    /// How current the replica of \p prefix is, as far as this daemon's own calls show.
    [[nodiscard]] feed_status status(std::string_view prefix) const;

private:
    /// Progress of following one prefix.
    struct feed_position {
        /// Whether all keys must be read before the next watch.
        bool must_read = true;
        /// Whether the last call failed. The next watch is then a short one, because during an
        /// outage a long watch would go on waiting after the end of the outage.
        bool after_failure = false;
        /// The next watch continues after this revision; 0 before the first read.
        std::uint64_t revision = 0;
    };

    /// A watch whose response follow() waits for, unless it is abandoned.
    struct pending_watch {
        explicit pending_watch(const net::asio::any_io_executor& executor) : ended(executor) {}
        net::notification ended;
        /// Empty while the store has not responded.
        std::optional<result<watch_outcome>> outcome;
    };

    /// How the store responded to a call: the reason of a failure, an empty string on success, or
    /// nothing if no call was made or its response was not waited for.
    using call_outcome = std::optional<std::string>;

    /// Follows a prefix for the lifetime of the process.
    net::task<> follow(std::string prefix);
    /// Reads all keys of a prefix or runs one watch.
    net::task<call_outcome> read_or_watch(const std::string& prefix, feed_position& position);
    net::task<call_outcome> read_prefix(const std::string& prefix, feed_position& position);
    net::task<call_outcome> watch_prefix(const std::string& prefix, feed_position& position);
    /// Runs a watch and notifies \p pending at its end.
    net::task<> run_watch(std::shared_ptr<pending_watch> pending, std::string prefix,
                          std::uint64_t revision, duration wait);
    /// Ends the waiting for all watches, which may have lost their response in an outage; each is
    /// sent again.
    void abandon_watches();
    /// Waits until a poll of a prefix is due or this daemon has to watch, and polls in the first
    /// case.
    net::task<call_outcome> poll_prefix(const std::string& prefix);
    /// Reads all keys of a prefix into the mirror and returns the revision of the snapshot.
    net::task<result<std::uint64_t>> read_all(std::string prefix, consistency read_consistency);
    [[nodiscard]] feed_options options_of(const std::string& prefix) const;
    /// Records that a call for a prefix starts, or how it ended.
    void begin_call(const std::string& prefix) { m_status[prefix].waiting_since = m_clock(); }
    void end_call(const std::string& prefix, const call_outcome& outcome);
    /// Updates connected_since() and last_outage() after a call, and logs when the state changes.
    void update_connectivity(bool responded, std::string_view reason);

    net::asio::any_io_executor m_executor;
    kv_store& m_store;
    mirror& m_mirror;
    std::map<std::string, feed_options> m_options;
    std::map<std::string, feed_status, std::less<>> m_status;
    /// The outstanding watches by prefix.
    std::map<std::string, std::shared_ptr<pending_watch>> m_pending;
    clock_fn m_clock;
    observe::decision_log& m_log;
    time_point m_last_response_at{};
    time_point m_connected_since = time_point::max();
    duration m_last_outage{};
};

} // namespace eelgrassdoor::store
