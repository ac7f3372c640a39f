/// \file
/// Defines the storage of batch jobs in the key-value service.
#pragma once

#include "base/random_source.hpp"
#include "jobs/job_state.hpp"
#include "jobs/result_size.hpp"
#include "observe/decision_log.hpp"
#include "store/kv_store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassdoor::jobs {

/// A job's record with its store revision, on which the next change is conditional.
struct versioned_state {
    job_state state;
    std::uint64_t revision = 0;
};

/// Results to be appended to one job.
struct result_batch {
    /// The job's record before the append.
    versioned_state before;
    std::vector<serving::item_result> results;
};

/// Outcome of a change to which the store has responded.
enum class change_outcome {
    done,
    /// The job was changed meanwhile; read it again before the next change.
    conflict,
};

/// Reads and changes jobs. A change whose response was lost is retried with the same bytes under
/// the same condition, so it takes effect at most once, whichever attempt arrives first. Changes
/// are retried until their deadline, unless the store refuses them for good; the error of one that
/// still failed tells by its run state whether it may have taken effect. Not thread-safe.
class job_repository {
public:
    job_repository(store::kv_store& store, clock_fn clock, observe::decision_log& log)
        : m_store(store), m_clock(std::move(clock)), m_log(log) {}

    /// Creates a job with its encoded items. Sets \p revision when done; `conflict` means that the
    /// job exists already. Fails as not run when the job is refused meanwhile.
    net::task<result<change_outcome>> create(job_state state, std::vector<std::string> item_values,
                                             time_point deadline, std::uint64_t& revision);
    /// Makes sure that no earlier attempt of any daemon creates the job any more: the store may
    /// carry out a creation whose response was lost seconds later, but not past a refusal that it
    /// has stored meanwhile. A create() that begins later goes past it. `conflict` means that the
    /// job exists.
    net::task<result<change_outcome>> refuse(std::string job, time_point deadline);
    /// The latest record of a job, by a linearizable read; nothing when there is no such job.
    net::task<result<std::optional<versioned_state>>> read(std::string job);
    /// The items of a job, in the order of submission.
    net::task<result<std::vector<serving::submitted_item>>> read_items(std::string job);
    /// All committed results of a job, in the order of their positions.
    net::task<result<std::vector<serving::item_result>>> read_results(std::string job);
    /// The committed results of a job that make_page() would list. Holds store_read_bytes at most.
    net::task<result<serving::result_page>> read_page(job_state state, std::uint64_t after,
                                                      std::size_t max_bytes);
    /// The body of one item of a job; nothing when the job has no such item. Holds store_read_bytes
    /// at most.
    net::task<result<std::optional<std::string>>> read_item_body(std::string job, std::string item);
    /// The records of all jobs. Malformed records are logged and left out.
    net::task<result<std::vector<versioned_state>>> read_all(store::consistency consistency);

    /// Maximum number of jobs in one append(). Each takes three entries of the transaction: a
    /// condition, a record and a value of results.
    static constexpr std::size_t max_append_jobs = store::max_transaction_entries / 3;

    /// Appends results to at most max_append_jobs jobs in one transaction. Updates the records and
    /// revisions in \p batches when done.
    net::task<result<change_outcome>> append(std::vector<result_batch>& batches,
                                             time_point deadline);
    /// Replaces a job's record if it still has \p revision. Updates \p revision when done.
    net::task<result<change_outcome>> replace(job_state next, std::uint64_t& revision,
                                              time_point deadline);
    /// Marks a job as cancelled and writes the key that its owner watches. Returns true for a job
    /// that is cancelled already, and false when the customer has no such job.
    net::task<result<bool>> cancel(std::string job, std::string customer, time_point deadline);

private:
    /// A lease whose end deletes refusals.
    struct refusal_lease {
        std::uint64_t id = 0;
        /// New refusals get a new lease from then on.
        time_point reuse_until = time_point::min();
    };

    void record_revision(const store::commit_outcome& outcome);
    /// Id of a lease that lasts longer than a creation may be late.
    net::task<result<std::uint64_t>> lease_for_refusal();
    /// Adds the write of a job's record to \p change, on the condition that the record still has
    /// \p revision, and sets a new change id. It has to be the first write of the job in the
    /// transaction.
    void add_state_write(store::kv_transaction& change, job_state& state, std::uint64_t revision);
    /// All items with a prefix, over all pages.
    net::task<result<std::vector<store::kv_item>>> list_all(std::string prefix,
                                                            store::consistency consistency);
    /// The decoded entries of all values with a prefix, in the order of their keys.
    template <typename Entry>
    net::task<result<std::vector<Entry>>>
    read_entries(std::string prefix, std::optional<std::vector<Entry>> (*decode)(std::string_view));
    /// Calls \p visit for the entries of all values with a prefix, in the order of their keys,
    /// until it returns false. Holds one response of the store at a time.
    template <typename Entry>
    net::task<result<void>>
    visit_entries(std::string prefix, std::optional<std::vector<Entry>> (*decode)(std::string_view),
                  std::function<bool(Entry&)> visit);
    /// Commits \p change and retries failed attempts until \p deadline, unless the store refuses
    /// the change for good. A conflict with an earlier attempt of the same change counts as
    /// committed. The run state of the error is `unknown` when any attempt may have taken effect.
    net::task<result<store::commit_outcome>> commit_until(const store::kv_transaction& change,
                                                          time_point deadline);

    store::kv_store& m_store;
    clock_fn m_clock;
    observe::decision_log& m_log;
    random_source m_random{secure_random_uint64()};
    refusal_lease m_refusal_lease;
    /// Highest revision of the store that this daemon has seen in a response to a change.
    std::uint64_t m_latest_revision = 0;
};

/// Whether the store has refused a change for good: it would refuse the same bytes again.
[[nodiscard]] bool is_refused_for_good(const error& why);

/// What a read of results or items from the store may hold for a while: a response of the store,
/// its values, and what they contain.
inline constexpr std::size_t store_read_bytes = 4UL * 1024 * 1024;

/// The results from position \p after on that fit into \p max_bytes as listed; at least one if
/// there are any.
serving::result_page make_page(const job_state& state,
                               const std::vector<serving::item_result>& results,
                               std::uint64_t after, std::size_t max_bytes = max_page_bytes);

} // namespace eelgrassdoor::jobs
