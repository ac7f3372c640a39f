#include "jobs/job_ownership.hpp"

#include "base/digest.hpp"
#include "jobs/result_committer.hpp"
#include "net/http_client.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace eelgrassdoor::jobs {

namespace {

/// Longest time between two scans for orphaned jobs. A scan uses stale reads, which are cheap.
constexpr duration adopt_interval = seconds(8);
/// Interval and duration of the scans for a job whose creation has an unknown outcome. A write
/// whose response was lost may take effect seconds later.
constexpr duration unconfirmed_poll_interval = seconds(1);
constexpr duration unconfirmed_poll_duration = seconds(12);
/// Registrations that lapsed during a store outage are renewed within 2 s of its end; until then
/// missing members are no evidence that their jobs are orphaned.
constexpr duration registration_settle_time = milliseconds(2500);
constexpr duration adopt_call_timeout = milliseconds(500);

} // namespace

job_ownership::job_ownership(serving::service_context& context, const runner_options& options,
                             job_repository& repository, job_table& table)
    : m_context(context), m_options(options), m_repository(repository), m_table(table) {}

void job_ownership::start() {
    net::asio::co_spawn(m_context.executor, adopt_loop(), net::asio::detached);
}

void job_ownership::begin_creation(const std::string& job, std::uint64_t backlog,
                                   std::uint64_t tokens) {
    const bool is_unconfirmed = may_be_created(job) && m_creations.at(job).is_unconfirmed;
    settle_creation(job);
    m_table.reserve_waiting(backlog, tokens);
    m_creations[job] = {.backlog = backlog,
                        .tokens = tokens,
                        .until = m_context.clock() + unconfirmed_poll_duration,
                        .is_unconfirmed = is_unconfirmed};
}

void job_ownership::track_unconfirmed_creation(const std::string& job) {
    const auto found = m_creations.find(job);
    if (found != m_creations.end()) {
        found->second.until = m_context.clock() + unconfirmed_poll_duration;
        found->second.is_unconfirmed = true;
        m_table.adopt_wake.notify();
    }
}

void job_ownership::settle_creation(std::string_view job) {
    const auto found = m_creations.find(job);
    if (found != m_creations.end()) {
        m_table.release_waiting(found->second.backlog, found->second.tokens);
        m_creations.erase(found);
    }
}

void job_ownership::expire_creations() {
    std::vector<std::string> expired;
    for (const auto& [job, each] : m_creations) {
        if (each.until <= m_context.clock()) {
            expired.push_back(job);
        }
    }
    for (const std::string& job : expired) {
        settle_creation(job);
    }
}

bool job_ownership::has_unconfirmed_creation() const {
    return std::any_of(m_creations.begin(), m_creations.end(),
                       [](const auto& entry) { return entry.second.is_unconfirmed; });
}

bool job_ownership::may_own_jobs(std::string_view host, std::uint64_t incarnation) const {
    return m_owners.may_own_jobs(host, incarnation, m_context.messenger.members());
}

std::string job_ownership::preferred_owner(std::string_view job,
                                           std::string_view excluded_host) const {
    std::string preferred;
    std::uint64_t preferred_weight = 0;
    for (const auto& [host, member] : m_context.messenger.members()) {
        const std::uint64_t weight = rendezvous_weight(stable_hash(job), host);
        if (member.runs_jobs && host != excluded_host &&
            (preferred.empty() || weight > preferred_weight)) {
            preferred = host;
            preferred_weight = weight;
        }
    }
    return preferred;
}

bool job_ownership::is_orphan(const job_state& state) const {
    // A job in the table is left to the committer, which confirms or drops it.
    if (state.finished() || m_table.find(state.job)) {
        return false;
    }
    if (state.owner == m_options.self.host) {
        return true;
    }
    const auto owner = m_context.messenger.members().find(state.owner);
    return owner == m_context.messenger.members().end() ||
           owner->second.incarnation != state.owner_incarnation;
}

bool job_ownership::should_adopt(const job_state& state) const {
    if (state.owner == m_options.self.host) {
        return true;
    }
    const time_point connected = m_options.store_connected_since();
    const bool settled =
        connected != time_point::max() && m_context.clock() - connected >= registration_settle_time;
    return settled && preferred_owner(state.job, {}) == m_options.self.host;
}

net::task<> job_ownership::adopt_loop() {
    for (;;) {
        const bool scan_again_soon = co_await adopt_orphans();
        const duration wait = scan_again_soon || has_unconfirmed_creation()
                                  ? unconfirmed_poll_interval
                                  : adopt_interval;
        co_await m_table.adopt_wake.wait_until(m_context.clock() + wait);
    }
}

net::task<bool> job_ownership::adopt_orphans() {
    expire_creations();
    if (m_table.draining || !m_options.registration_valid()) {
        co_return true;
    }
    m_table.wake_committer_if_unconfirmed();
    const fleet::member_map members = m_context.messenger.members();
    const result<std::vector<versioned_state>> all =
        co_await m_repository.read_all(store::consistency::stale);
    if (!all) {
        co_return true;
    }
    std::set<job_owners::process> owners;
    for (const versioned_state& record : all.value()) {
        if (!is_orphan(record.state)) {
            // It exists: its tokens count where it is owned.
            settle_creation(record.state.job);
            continue;
        }
        if (should_adopt(record.state)) {
            co_await adopt(record);
        }
        if (is_orphan(record.state)) {
            owners.emplace(record.state.owner, record.state.owner_incarnation);
        }
    }
    const bool orphans_left = !owners.empty();
    m_owners.record_scan(members, std::move(owners));
    co_return orphans_left;
}

net::task<> job_ownership::adopt(versioned_state record) {
    const bool already_owner = record.state.owner == m_options.self.host &&
                               record.state.owner_incarnation == m_options.self.incarnation;
    if (!already_owner) {
        const std::string before = record.state.owner;
        record.state.owner = m_options.self.host;
        record.state.owner_incarnation = m_options.self.incarnation;
        ++record.state.epoch;
        const result<change_outcome> outcome = co_await m_repository.replace(
            record.state, record.revision, m_context.clock() + commit_timeout);
        if (!outcome || outcome.value() == change_outcome::conflict) {
            co_return;
        }
        m_context.log.write(observe::event::job_claimed, record.state.job,
                            {{"from", before}, {"epoch", std::to_string(record.state.epoch)}});
    }
    co_await load(std::move(record));
}

net::task<> job_ownership::load(versioned_state record) {
    const std::string id = record.state.job;
    // The record may come from a stale read and be older than a commit of this daemon.
    result<std::optional<versioned_state>> latest = co_await m_repository.read(id);
    if (!latest || !latest.value() || m_table.find(id) || m_table.draining) {
        co_return;
    }
    const bool is_owner = latest.value()->state.owner == m_options.self.host &&
                          latest.value()->state.owner_incarnation == m_options.self.incarnation;
    if (!is_owner || latest.value()->state.finished()) {
        co_return;
    }
    result<std::vector<serving::submitted_item>> items = co_await m_repository.read_items(id);
    if (!items) {
        co_return;
    }
    result<std::vector<serving::item_result>> committed_results =
        co_await m_repository.read_results(id);
    if (!committed_results ||
        committed_results.value().size() != latest.value()->state.committed_count ||
        m_table.find(id) || m_table.draining) {
        co_return;
    }
    settle_creation(id);
    m_table.add(std::move(*latest.value()), std::move(items.value()),
                std::move(committed_results.value()));
}

net::task<> job_ownership::hand_over_jobs() {
    const std::map<std::string, job_ptr, std::less<>> jobs = m_table.all();
    for (const auto& [id, job] : jobs) {
        if (job->record().state.finished()) {
            continue;
        }
        const std::string next_owner = preferred_owner(id, m_options.self.host);
        const auto found = m_context.messenger.members().find(next_owner);
        if (found == m_context.messenger.members().end()) {
            continue;
        }
        // The members may change while the store is asked.
        const fleet::member owner = found->second;
        job_state next = job->record().state;
        next.owner = next_owner;
        next.owner_incarnation = owner.incarnation;
        ++next.epoch;
        std::uint64_t revision = job->record().revision;
        const result<change_outcome> outcome =
            co_await m_repository.replace(next, revision, m_context.clock() + commit_timeout);
        if (outcome && outcome.value() == change_outcome::done) {
            m_context.log.write(observe::event::job_released, id, {{"owner", next_owner}});
            m_table.drop(id, "released");
            job_call call;
            call.kind = call_kind::adopt;
            net::http_request request;
            request.method = "POST";
            request.target = job_call_path;
            request.body = encode(call);
            net::http_client client(m_context.executor);
            // If the call fails, the new owner finds the job in its next scan for orphans.
            const result<net::http_response> notified = co_await client.call(
                owner.endpoint, std::move(request), m_context.clock() + adopt_call_timeout);
            if (!notified) {
                m_context.log.write(observe::event::target_failed, next_owner,
                                    {{"reason", notified.error().message}});
            }
        } else if (outcome) {
            co_await resolve_conflict(id);
        }
    }
    if (!m_table.is_drained()) {
        m_table.commit_wake.notify();
    }
}

} // namespace eelgrassdoor::jobs
