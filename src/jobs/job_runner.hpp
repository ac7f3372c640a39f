/// \file
/// Defines the service that owns batch jobs, as the daemons' fronts see it.
#pragma once

#include "jobs/item_dispatcher.hpp"
#include "jobs/job_call.hpp"
#include "jobs/job_ownership.hpp"
#include "jobs/job_repository.hpp"
#include "jobs/job_table.hpp"
#include "jobs/owner_cache.hpp"
#include "jobs/result_committer.hpp"

#include <optional>
#include <string>
#include <vector>

namespace eelgrassdoor::jobs {

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
    void note_members() { m_table.adopt_wake.notify(); }
    /// A caller has ended the job at another daemon.
    void note_ended(const std::string& job) { m_table.note_ended(job); }
    /// From now on this daemon takes no jobs and gives up those that it has.
    void release_all();
    [[nodiscard]] bool owns_nothing() const { return m_table.owns_nothing(); }

    /// What waits here, for the other daemons.
    [[nodiscard]] std::vector<fleet::waiting_tokens> waiting() const { return m_table.waiting(); }

private:
    net::task<job_reply> submit(job_call call);
    net::task<job_reply> read(job_call call);
    net::task<job_reply> read_item(job_call call);
    net::task<job_reply> end(job_call call);
    net::task<job_reply> read_from_store(job_call call);
    /// What the store says of a job that this daemon does not answer for from memory.
    struct lookup {
        /// The reply, unless the job's contents have to be read for it.
        std::optional<job_reply> reply;
        job_state state;
    };
    net::task<lookup> look_up(job_call call);
    /// The reply that names another daemon as the owner, if one is remembered.
    [[nodiscard]] std::optional<job_reply> moved_to(const std::string& job) const;

    serving::host_context& m_context;
    job_repository& m_repository;
    runner_options m_options;
    job_table m_table;
    owner_memory m_owners;
    job_ownership m_ownership;
    result_committer m_committer;
    item_dispatcher m_dispatcher;
};

} // namespace eelgrassdoor::jobs
