/// \file
/// Defines how jobs get and change their owner.
#pragma once

#include "jobs/job_repository.hpp"
#include "jobs/job_table.hpp"

#include <functional>
#include <map>
#include <string>

namespace eelgrassdoor::jobs {

/// Adopts jobs whose owner is gone, and gives up those of a daemon that is to own none.
class job_ownership {
public:
    job_ownership(serving::service_context& context, const runner_options& options,
                  job_repository& repository, job_table& table);
    void start();

    /// The creation of a job had no clear outcome: it may turn up as this daemon's.
    void look_for(const std::string& job);
    /// Gives every unfinished job to another daemon.
    net::task<> release_jobs();
    /// Reads a job of this daemon from the store and owns it.
    net::task<> load(versioned_state record);

    /// Finds out what changed a job under this daemon.
    std::function<net::task<>(std::string)> settle_race;

private:
    net::task<> adopt_loop();
    /// Returns whether orphans are left.
    net::task<bool> adopt_orphans();
    net::task<> adopt(versioned_state record);
    [[nodiscard]] bool is_orphan(const job_state& state) const;
    [[nodiscard]] bool should_adopt(const job_state& state) const;
    /// The daemon that a job falls to, by rendezvous.
    [[nodiscard]] std::string preferred_owner(std::string_view job,
                                              std::string_view not_this) const;

    serving::service_context& m_context;
    const runner_options& m_options;
    job_repository& m_repository;
    job_table& m_table;
    /// Jobs whose creation had no clear outcome, until when they are looked for.
    std::map<std::string, time_point, std::less<>> m_unclear;
};

} // namespace eelgrassdoor::jobs
