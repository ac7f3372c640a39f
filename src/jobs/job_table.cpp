#include "jobs/job_table.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"

#include <algorithm>

namespace eelgrassdoor::jobs {

namespace {

/// Finished jobs stay in memory for this long; later reads go to the store.
constexpr duration finished_job_retention = seconds(120);

} // namespace

void item_run::stop() {
    stopped = true;
    if (exchange) {
        exchange->close();
    }
}

std::uint64_t backlog_key(std::string_view customer, std::string_view route) {
    return stable_hash(str_cat(customer, "\n", route));
}

job_ptr job_table::find(std::string_view job) const {
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : found->second;
}

const config::serving_route* job_table::route_of(const owned_job& job) const {
    return m_context.plan ? m_context.plan->find_route(job.record().state.route) : nullptr;
}

std::uint64_t job_table::waiting_tokens(std::uint64_t key) const {
    std::uint64_t sum = 0;
    for (const auto& [id, job] : m_jobs) {
        const job_state& state = job->record().state;
        if (backlog_key(state.customer, state.route) == key) {
            sum += job->waiting_tokens();
        }
    }
    const auto reserved = m_reserved.find(key);
    return sum + (reserved == m_reserved.end() ? 0 : reserved->second);
}

std::vector<fleet::waiting_tokens> job_table::waiting_tokens() const {
    std::map<std::uint64_t, std::uint64_t> sums = m_reserved;
    for (const auto& [id, job] : m_jobs) {
        const job_state& state = job->record().state;
        sums[backlog_key(state.customer, state.route)] += job->waiting_tokens();
    }
    std::vector<fleet::waiting_tokens> out;
    for (const auto& [key, tokens] : sums) {
        if (tokens > 0) {
            out.push_back({key, tokens});
        }
    }
    return out;
}

std::optional<std::uint64_t> job_table::registration_generation() const {
    return m_options.registration_valid() ? std::optional(m_options.registration_generation())
                                          : std::nullopt;
}

bool job_table::is_authoritative(const owned_job& job) const {
    return job.is_authoritative(registration_generation());
}

void job_table::add(versioned_state record, std::vector<serving::submitted_item> items,
                    std::vector<serving::item_result> committed_results) {
    const config::serving_route* route =
        m_context.plan ? m_context.plan->find_route(record.state.route) : nullptr;
    const duration target = route != nullptr ? route->jobs.completion_target : seconds(0);
    // The clock of the host that accepted the job may be ahead.
    const milliseconds age(
        std::max<std::int64_t>(m_options.wall_clock() - record.state.submitted_at, 0));
    const std::string id = record.state.job;
    m_jobs[id] = std::make_shared<owned_job>(
        std::move(record), std::move(items), std::move(committed_results),
        m_context.clock() + target - age, m_options.max_value_bytes);
    m_jobs[id]->confirm(m_options.registration_generation());
    m_added_at[id] = m_context.clock();
    m_evict_at.erase(id);
    // The cancellation may have been reported before the job was in the table, and after its record
    // was read.
    if (m_options.is_cancelled(id)) {
        mark_cancelled(id);
    }
    m_context.messenger.schedule_digest();
    dispatch_wake.notify();
    commit_wake.notify();
}

void job_table::drop(const std::string& job, std::string_view reason) {
    const job_ptr found = find(job);
    if (!found) {
        return;
    }
    m_context.log.write(observe::event::job_lost, job, {{"reason", std::string(reason)}});
    for (const item_run_ptr& each : running) {
        if (each->job == found) {
            each->stop();
        }
    }
    m_jobs.erase(job);
    m_added_at.erase(job);
    m_evict_at.erase(job);
    wake_readers();
}

void job_table::mark_cancelled(const std::string& job) {
    const job_ptr owned = find(job);
    if (!owned || owned->record().state.cancelled) {
        return;
    }
    m_context.log.write(observe::event::job_cancelled, job);
    owned->mark_cancelled();
    for (const item_run_ptr& each : running) {
        if (each->job == owned) {
            each->stop();
        }
    }
    m_context.messenger.schedule_digest();
    commit_wake.notify();
    wake_readers();
}

void job_table::fail_expired_items() {
    if (!m_context.plan) {
        return;
    }
    for (const auto& [id, job] : m_jobs) {
        const config::serving_route* route = route_of(*job);
        if (job->finished() || route == nullptr) {
            continue;
        }
        const bool expired = route->jobs.item_lifetime > duration::zero() &&
                             m_context.clock() - m_added_at[id] > route->jobs.item_lifetime;
        if (expired) {
            job->fail_pending_items();
            commit_wake.notify();
        }
    }
    if (!m_confirms_routes && !jobs_without_route().empty()) {
        m_confirms_routes = true;
        net::asio::co_spawn(m_context.executor, fail_jobs_without_route(), net::asio::detached);
    }
}

std::vector<std::string> job_table::jobs_without_route() const {
    std::vector<std::string> ids;
    for (const auto& [id, job] : m_jobs) {
        if (!job->finished() && route_of(*job) == nullptr) {
            ids.push_back(id);
        }
    }
    return ids;
}

net::task<> job_table::fail_jobs_without_route() {
    time_point since = time_point::min();
    for (const std::string& id : jobs_without_route()) {
        since = std::max(since, m_added_at.at(id));
    }
    const bool is_confirmed = co_await m_options.confirm_plan(since);
    m_confirms_routes = false;
    if (!is_confirmed) {
        co_return;
    }
    for (const std::string& id : jobs_without_route()) {
        if (m_added_at.at(id) <= since) {
            m_jobs.at(id)->fail_pending_items();
            commit_wake.notify();
        }
    }
}

void job_table::evict_finished() {
    const time_point now = m_context.clock();
    for (const auto& [id, job] : m_jobs) {
        if (job->finished()) {
            m_evict_at.try_emplace(id, now + finished_job_retention);
        }
    }
    for (auto it = m_evict_at.begin(); it != m_evict_at.end();) {
        if (it->second <= now) {
            m_jobs.erase(it->first);
            m_added_at.erase(it->first);
            it = m_evict_at.erase(it);
        } else {
            ++it;
        }
    }
}

bool job_table::is_drained() const {
    return std::all_of(m_jobs.begin(), m_jobs.end(),
                       [](const auto& entry) { return entry.second->record().state.finished(); });
}

net::task<> job_table::wait_for_results(time_point deadline) {
    const auto reader = std::make_shared<net::notification>(m_context.executor);
    m_readers.push_back(reader);
    co_await reader->wait_until(deadline);
    m_readers.remove(reader);
}

void job_table::wake_committer_if_unconfirmed() {
    const bool unconfirmed = std::any_of(m_jobs.begin(), m_jobs.end(), [&](const auto& entry) {
        return !is_authoritative(*entry.second);
    });
    if (unconfirmed) {
        commit_wake.notify();
    }
}

void job_table::wake_readers() {
    for (const std::shared_ptr<net::notification>& reader : m_readers) {
        reader->notify();
    }
}

} // namespace eelgrassdoor::jobs
