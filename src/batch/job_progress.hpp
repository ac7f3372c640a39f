/// \file
/// Defines what the owner of a job decides about its items. Pure: no I/O.
#pragma once

#include "batch/interval_set.hpp"
#include "batch/item_result.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassdoor::batch {

/// How an attempt at an item ended.
enum class attempt_outcome {
    /// A result line was made.
    answered,
    /// The target refused the item for good, or broke while it ran it.
    failed,
    /// Nothing was sent, or the target said that it did not run it.
    not_run,
    /// The stream was stopped in favour of online work.
    yielded,
};

/// The items of one job: which are done, in flight, or wait for another attempt. Memory grows
/// with the ranges of done items and the items in flight, not with the job.
class job_progress {
public:
    static constexpr int max_attempts = 3;

    explicit job_progress(std::uint64_t item_count) : m_item_count(item_count) {}

    /// Takes in an entry that an earlier owner committed.
    void restore(const item_entry& entry);
    /// Ends the restoring: intents without a result become results of unknown outcome, which the
    /// caller must give a line by custom id.
    std::vector<std::uint64_t> take_unresolved_intents();

    /// The next item to read and send, or none now. Items that wait for another attempt come
    /// before new ones.
    std::optional<std::uint64_t> next();
    /// Puts back an item that next() gave and that was not sent.
    void requeue(std::uint64_t index);
    /// Takes in how an attempt ended. Returns whether the item needs a final error line.
    bool record_attempt(std::uint64_t index, attempt_outcome outcome, bool idempotent);
    /// Adds a final result. Returns false when the item has one already.
    bool add_result(item_entry entry);
    /// Adds an intent, which must be committed before the item is sent.
    void add_intent(std::uint64_t index);

    /// The entries that wait for a commit.
    [[nodiscard]] const std::deque<item_entry>& uncommitted() const { return m_uncommitted; }
    /// The first \p count uncommitted entries are committed. Returns the intents among them: these
    /// items may be sent now.
    std::vector<std::uint64_t> note_committed(std::size_t count);

    [[nodiscard]] std::uint64_t done() const { return m_done.size(); }
    [[nodiscard]] std::uint64_t failed() const { return m_failed; }
    [[nodiscard]] std::size_t in_flight() const { return m_in_flight.size(); }
    /// Whether every item has a result, committed or not.
    [[nodiscard]] bool all_done() const { return m_done.size() == m_item_count; }
    /// Whether an item could be sent now.
    [[nodiscard]] bool has_next() const {
        return !m_retry_queue.empty() || m_cursor < m_item_count;
    }
    [[nodiscard]] std::size_t ranges() const { return m_done.ranges(); }

private:
    const std::uint64_t m_item_count;
    interval_set m_done;
    std::uint64_t m_failed = 0;
    std::uint64_t m_cursor = 0;
    std::deque<std::uint64_t> m_retry_queue;
    std::set<std::uint64_t> m_in_flight;
    std::map<std::uint64_t, int> m_attempts;
    std::set<std::uint64_t> m_intents;
    std::deque<item_entry> m_uncommitted;
};

} // namespace eelgrassdoor::batch
