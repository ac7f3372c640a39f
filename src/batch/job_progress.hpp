/// \file
/// Defines the state of a job's items at the job's owner. Performs no I/O.
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
    /// The target responded, and the result has been added with add_result().
    answered,
    /// The target rejected the item permanently or failed while running it.
    failed,
    /// Nothing was sent, or the target reported that it did not run the item.
    not_run,
    /// The stream was preempted by online requests.
    yielded,
};

/// The items of one job: which are done, in flight or waiting for another attempt. Memory grows
/// with the ranges of done items and the items in flight, not with the size of the job. Not
/// thread-safe.
class job_progress {
public:
    /// Attempts at an idempotent item that may fail before it gets an error result.
    static constexpr int max_attempts = 3;

    explicit job_progress(std::uint64_t item_count) : m_item_count(item_count) {}

    /// Restores an entry committed by an earlier owner. Call before any item is sent.
    void restore(const item_entry& entry);
    /// Ends the recovery. Returns the items with a committed intent but no result: their outcome is
    /// unknown, and the caller must add an error result for each.
    std::vector<std::uint64_t> take_unresolved_intents();

    /// The next item to read and send, or none at present. It counts as in flight until its outcome
    /// or result is recorded or it is returned by requeue(). Items waiting for another attempt come
    /// before new ones.
    std::optional<std::uint64_t> next();
    /// Puts an item from next() that was not sent back at the head of the queue.
    void requeue(std::uint64_t index);
    /// Records the outcome of an attempt and queues the item again where appropriate. Returns
    /// whether the item has failed for good and the caller must add an error result.
    bool record_attempt(std::uint64_t index, attempt_outcome outcome, bool idempotent);
    /// Adds a final result, to be committed. Returns false when the item already has one.
    bool add_result(item_entry entry);
    /// Adds an intent to send an item, which must be committed before the item is sent.
    void add_intent(std::uint64_t index);

    /// The entries waiting to be committed, in commit order.
    [[nodiscard]] const std::deque<item_entry>& uncommitted() const { return m_uncommitted; }
    /// Removes the first \p count uncommitted entries, which have been committed; there must be
    /// that many. Returns the items whose intents are among them: these may be sent now.
    std::vector<std::uint64_t> remove_committed(std::size_t count);

    /// Items with a result, committed or not.
    [[nodiscard]] std::uint64_t done() const { return m_done.size(); }
    /// Items whose result is an error.
    [[nodiscard]] std::uint64_t failed() const { return m_failed; }
    /// Items returned by next() and not yet ended or queued again.
    [[nodiscard]] std::size_t in_flight() const { return m_in_flight.size(); }
    /// Whether every item has a result, committed or not.
    [[nodiscard]] bool all_done() const { return m_done.size() == m_item_count; }
    /// Whether next() may return an item. It may still return none when all remaining items are
    /// done.
    [[nodiscard]] bool has_next() const {
        return !m_retry_queue.empty() || m_cursor < m_item_count;
    }
    /// The number of disjoint ranges of done items.
    [[nodiscard]] std::size_t range_count() const { return m_done.range_count(); }

private:
    const std::uint64_t m_item_count;
    /// Items with a result.
    interval_set m_done;
    std::uint64_t m_failed = 0;
    /// The first item that next() has not yet considered as a new one.
    std::uint64_t m_cursor = 0;
    std::deque<std::uint64_t> m_retry_queue;
    std::set<std::uint64_t> m_in_flight;
    /// Failed attempts by item.
    std::map<std::uint64_t, int> m_attempts;
    /// Items with a restored intent.
    std::set<std::uint64_t> m_intents;
    std::deque<item_entry> m_uncommitted;
};

} // namespace eelgrassdoor::batch
