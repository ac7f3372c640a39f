/// \file
/// Defines how batch jobs are kept in the key-value service.
#pragma once

#include "base/random_source.hpp"
#include "jobs/job_state.hpp"
#include "observe/decision_log.hpp"
#include "store/kv_store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassdoor::jobs {

/// A job's record with the revision that the next change depends on.
struct versioned_state {
    job_state state;
    std::uint64_t revision = 0;
};

/// New results of one job, for a commit.
struct result_batch {
    versioned_state before;
    std::vector<serving::listed_result> results;
};

/// How a change ended.
enum class change_outcome {
    done,
    /// Another daemon changed the job meanwhile: the caller must read it again.
    lost_race,
};

/// Reads and changes jobs. A change whose answer was lost is repeated with the same bytes under
/// the same condition, so that it takes effect once, whichever copy arrives first.
class job_repository {
public:
    job_repository(store::kv_store& store, clock_fn clock, observe::decision_log& log)
        : m_store(store), m_clock(std::move(clock)), m_log(log) {}

    /// Creates a job. lost_race: the job exists already.
    net::task<result<change_outcome>> create(job_state state, std::vector<std::string> item_values,
                                             time_point deadline, std::uint64_t& revision);
    net::task<result<std::optional<versioned_state>>> read(std::string job);
    net::task<result<std::vector<serving::submitted_item>>> read_items(std::string job);
    /// All committed results, in order of their positions.
    net::task<result<std::vector<serving::listed_result>>> read_results(std::string job);
    /// The records of all jobs.
    net::task<result<std::vector<versioned_state>>> read_all(store::consistency how);

    /// Jobs in one append(): a condition, a record and results of each count as entries.
    static constexpr std::size_t max_append_jobs = store::max_transaction_entries / 3;

    /// Appends results to several jobs at once, at most max_append_jobs; all or none. Updates the
    /// states and revisions in \p batches when done.
    net::task<result<change_outcome>> append(std::vector<result_batch>& batches,
                                             time_point deadline);
    /// Replaces the record when it still has the revision. Updates \p revision when done.
    net::task<result<change_outcome>> replace(job_state next, std::uint64_t& revision,
                                              time_point deadline);
    /// Marks a job as ended by its caller, for whoever owns it. False when the customer has no
    /// such job.
    net::task<result<bool>> end(std::string job, std::string customer, time_point deadline);

private:
    /// Adds a job's record to a change, on condition that it still has \p revision, and numbers the
    /// change. It is the first write of the job in the transaction.
    void add_record(store::kv_transaction& change, job_state& state, std::uint64_t revision);
    /// All pages of a prefix.
    net::task<result<std::vector<store::kv_item>>> list_all(std::string prefix,
                                                            store::consistency how);
    /// The entries of all values with a prefix, in the order of their keys.
    template <typename Entry>
    net::task<result<std::vector<Entry>>>
    read_entries(std::string prefix, std::optional<std::vector<Entry>> (*decode)(std::string_view));
    /// Commits, repeating while the outcome is unknown. \p is_ours tells from the current items of
    /// the conditions whether an earlier copy of this change took effect.
    net::task<result<store::commit_outcome>> commit_until(store::kv_transaction change,
                                                          time_point deadline);

    store::kv_store& m_store;
    clock_fn m_clock;
    observe::decision_log& m_log;
    random_source m_random{secure_random_uint64()};
};

/// The results that fit into one answer, from position \p after on.
serving::result_page make_page(const job_state& state,
                               const std::vector<serving::listed_result>& results,
                               std::uint64_t after);

} // namespace eelgrassdoor::jobs
