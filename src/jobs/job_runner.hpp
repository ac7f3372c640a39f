/// \file
/// Defines the service that owns batch jobs: it runs their items and commits their results.
#pragma once

#include "batch/scheduler.hpp"
#include "jobs/job_call.hpp"
#include "jobs/job_repository.hpp"
#include "jobs/owned_job.hpp"
#include "net/notification.hpp"
#include "serving/host_context.hpp"
#include "serving/target_exchange.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace eelgrassdoor::jobs {

struct runner_options {
    fleet::member self;
    /// Whether this daemon's registration cannot have ended without its knowing: only then is what
    /// it remembers of its jobs certain.
    std::function<bool()> registration_valid;
    /// Since when the key-value service answers; time_point::max() while it does not.
    std::function<time_point()> store_connected_since;
    /// Unix milliseconds.
    std::function<std::int64_t()> wall_clock;
};

/// Owns jobs. A job's owner is the daemon that its record names; every change of the record is
/// conditional on its revision, so an owner that was replaced finds out at its next commit.
class job_runner {
public:
    job_runner(serving::host_context& context, job_repository& repository, runner_options options);

    void start();

    /// Answers a call of a front.
    net::task<job_reply> handle(job_call call);

    /// The load at the targets has changed: streams may have to make room, or may start.
    void note_load();
    /// Daemons have come or gone: jobs of those that are gone need an owner.
    void note_members() { m_adopt_wake.notify(); }
    /// A caller has ended the job at another daemon.
    void note_ended(const std::string& job);
    /// From now on this daemon takes no jobs and gives up those that it has.
    void release_all();
    [[nodiscard]] bool owns_nothing() const;

    /// What waits here, for the other daemons.
    [[nodiscard]] std::vector<fleet::waiting_tokens> waiting() const;

private:
    using job_ptr = std::shared_ptr<owned_job>;
    struct running_item {
        job_ptr job;
        std::size_t index = 0;
        std::shared_ptr<serving::target_exchange> exchange;
        time_point started_at;
        bool stopped = false;
    };
    using running_ptr = std::shared_ptr<running_item>;

    net::task<job_reply> submit(job_call call);
    net::task<job_reply> read(job_call call);
    net::task<job_reply> read_item(job_call call);
    net::task<job_reply> end(job_call call);
    net::task<job_reply> read_from_store(job_call call);

    net::task<> dispatch_loop();
    void dispatch();
    bool start_next(std::set<std::string, std::less<>>& full_services);
    net::task<> run_item(running_ptr running, routing::fleet_target target);
    net::task<item_outcome> run_at(running_item& running, const routing::fleet_target& target);
    net::task<item_outcome> collect(running_item& running);
    void stop_streams();
    void stop_streams_at(const std::string& target, int count);

    net::task<> commit_loop();
    net::task<> commit_results();
    net::task<> commit_alone(result_batch batch);
    net::task<> settle_race(std::string job);
    net::task<> release_jobs();

    net::task<> adopt_loop();
    net::task<bool> adopt_orphans();
    net::task<> adopt(versioned_state record);
    net::task<> load(versioned_state record);
    [[nodiscard]] bool is_orphan(const job_state& state) const;
    [[nodiscard]] bool should_adopt(const job_state& state) const;
    [[nodiscard]] std::string preferred_owner(std::string_view job,
                                              std::string_view not_this) const;

    void own(versioned_state record, std::vector<serving::submitted_item> items,
             std::vector<serving::listed_result> listed);
    void drop(const std::string& job, std::string_view reason);
    void forget_old_jobs();
    void give_up_late_items();
    [[nodiscard]] job_ptr find(std::string_view job) const;
    [[nodiscard]] bool may_dispatch() const;
    [[nodiscard]] std::uint64_t waiting_here(std::uint64_t customer_and_route) const;
    void wake_readers();

    serving::host_context& m_context;
    job_repository& m_repository;
    runner_options m_options;
    batch::scheduler m_scheduler;
    std::map<std::string, job_ptr, std::less<>> m_jobs;
    /// When jobs that have ended may be forgotten.
    std::map<std::string, time_point, std::less<>> m_forget_at;
    std::list<running_ptr> m_running;
    /// Tokens of jobs that are being created.
    std::map<std::uint64_t, std::uint64_t> m_reserved;
    /// Jobs whose creation had no clear outcome, until when they are looked for.
    std::map<std::string, time_point, std::less<>> m_unclear;
    std::list<std::shared_ptr<net::notification>> m_readers;
    net::notification m_dispatch_wake;
    net::notification m_commit_wake;
    net::notification m_adopt_wake;
    bool m_releasing = false;
};

/// Names a customer and route in digests.
std::uint64_t waiting_key(std::string_view customer, std::string_view route);

} // namespace eelgrassdoor::jobs
