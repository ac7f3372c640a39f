/// \file
/// Defines the jobs that a daemon owns, with what runs of them now.
#pragma once

#include "jobs/job_call.hpp"
#include "jobs/owned_job.hpp"
#include "net/notification.hpp"
#include "serving/service_context.hpp"
#include "serving/target_exchange.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassdoor::jobs {

struct runner_options {
    fleet::member self;
    /// Whether this daemon's registration cannot have ended without its knowing: only then is what
    /// it remembers of its jobs certain.
    std::function<bool()> registration_valid;
    /// Number of the registration; see fleet::registration::number().
    std::function<std::uint64_t()> registration_number;
    /// Since when the key-value service answers; time_point::max() while it does not.
    std::function<time_point()> store_connected_since;
    /// Unix milliseconds.
    std::function<std::int64_t()> wall_clock;
};

using job_ptr = std::shared_ptr<owned_job>;

/// One run of an item at a target.
struct running_item {
    job_ptr job;
    std::size_t index = 0;
    std::shared_ptr<serving::target_exchange> exchange;
    time_point started_at;
    /// Whether this daemon broke it off.
    bool stopped = false;

    void stop();
};
using running_ptr = std::shared_ptr<running_item>;

/// What the parts of a job runner share. Belongs to the event loop's thread.
class job_table {
public:
    job_table(serving::host_context& context, const runner_options& options)
        : m_context(context), m_options(options), dispatch_wake(context.executor),
          commit_wake(context.executor), adopt_wake(context.executor) {}

    [[nodiscard]] job_ptr find(std::string_view job) const;
    [[nodiscard]] const std::map<std::string, job_ptr, std::less<>>& all() const { return m_jobs; }

    /// The registration of this daemon, or none while it may have ended.
    [[nodiscard]] std::optional<std::uint64_t> registration() const;
    /// Whether no caller can have read more results of a job than are remembered.
    [[nodiscard]] bool is_certain(const owned_job& job) const;
    /// Takes a job in that the store says is this daemon's.
    void own(versioned_state record, std::vector<serving::submitted_item> items,
             std::vector<serving::listed_result> listed);
    /// Forgets a job that another daemon owns, and breaks its runs off.
    void drop(const std::string& job, std::string_view reason);
    /// A caller has ended the job: nothing more of it is run.
    void note_ended(const std::string& job);
    /// Forgets jobs that ended long ago; the store still has them.
    void forget_old();
    /// Gives up items that nobody waits for any more.
    void give_up_late_items();
    [[nodiscard]] bool owns_nothing() const;

    /// Tokens that wait here, with those of jobs that are being created.
    [[nodiscard]] std::vector<fleet::waiting_tokens> waiting() const;
    [[nodiscard]] std::uint64_t waiting(std::uint64_t customer_and_route) const;
    void reserve(std::uint64_t customer_and_route, std::uint64_t tokens) {
        m_reserved[customer_and_route] += tokens;
    }
    void release(std::uint64_t customer_and_route, std::uint64_t tokens) {
        m_reserved[customer_and_route] -= tokens;
    }

    /// Waits until \p deadline for new results of any job.
    net::task<> wait_for_results(time_point deadline);
    void wake_readers();
    /// The committer asks the store about jobs whose state is not certain.
    void wake_committer_if_uncertain();

    [[nodiscard]] const config::serving_route* route_of(const owned_job& job) const;

private:
    serving::host_context& m_context;
    const runner_options& m_options;
    std::map<std::string, job_ptr, std::less<>> m_jobs;
    /// When jobs that have ended may be forgotten.
    std::map<std::string, time_point, std::less<>> m_forget_at;
    std::map<std::uint64_t, std::uint64_t> m_reserved;
    std::list<std::shared_ptr<net::notification>> m_readers;

public:
    std::list<running_ptr> running;
    net::notification dispatch_wake;
    net::notification commit_wake;
    net::notification adopt_wake;
    /// Whether this daemon takes no jobs any more and gives up those that it has.
    bool releasing = false;
};

/// Names a customer and route in digests.
std::uint64_t waiting_key(std::string_view customer, std::string_view route);

} // namespace eelgrassdoor::jobs
