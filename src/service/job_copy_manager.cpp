#include "service/job_copy_manager.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"
#include "peer/codec.hpp"
#include "service/job_intake.hpp"

#include <algorithm>
#include <optional>

namespace eelgrassdoor::service {

namespace {

constexpr duration step_interval = milliseconds(200);
constexpr duration check_interval_running = seconds(2);
constexpr duration check_interval_ended = seconds(10);
constexpr duration check_interval_copy_missing = seconds(1);
/// A storage without a job record was never acknowledged and is removed after this time.
constexpr duration orphan_age = seconds(600);
constexpr duration find_job_timeout = seconds(1);

bool contains_host(const std::vector<std::string>& hosts, std::string_view host) {
    return std::ranges::find(hosts, host) != hosts.end();
}

} // namespace

job_copy_manager::job_copy_manager(daemon_context& context, member_service& members,
                                   document_service& documents, copy_store& copies, job_store& jobs,
                                   job_committer& committer, job_table& table)
    : m_context(context), m_members(members), m_copies(copies), m_jobs(jobs),
      m_committer(committer), m_table(table), m_repair(context, members, documents, copies, jobs) {
    m_copies.on_stored([this](std::string_view storage, std::string_view file) {
        if (file == job_file) {
            add_storage(storage);
        }
    });
    m_context.transport.handle(peer::message_type::job_notice,
                               [this](const peer::envelope& e, std::string_view) {
                                   if (const auto notice = peer::decode<peer::job_notice>(e.body)) {
                                       mark_changed(notice->job);
                                   }
                                   return std::optional<std::string>();
                               });
    m_context.transport.handle_bulk(
        peer::message_type::find_job, [this](const peer::bulk_message& m) {
            const auto query = peer::decode<peer::find_job>(m.head);
            const auto record = query ? find_local_record(query->job) : std::nullopt;
            return peer::bulk_message{{}, record ? batch::to_json(*record) : std::string()};
        });
    m_committer.on_job_stopped([this](const batch::job_record& r) { handle_job_stopped(r); });
}

std::optional<batch::job_record> job_copy_manager::find_local_record(std::string_view job) {
    {
        const absl::MutexLock lock(&m_table.mutex);
        const auto owned = m_table.jobs.find(job);
        if (owned != m_table.jobs.end()) {
            return owned->second->stored.record;
        }
    }
    const absl::MutexLock lock(&m_mutex);
    for (auto it = m_local_copies.lower_bound({std::string(job), {}});
         it != m_local_copies.end() && it->first.job == job; ++it) {
        if (!it->second.record.job.empty()) {
            return it->second.record;
        }
    }
    return std::nullopt;
}

result<batch::job_record> job_copy_manager::find_with_peers(std::string_view job) {
    std::optional<batch::job_record> best = find_local_record(job);
    const std::vector<std::string> spools =
        m_members.with_table([](const membership::member_table& table) {
            std::vector<std::string> out;
            for (const membership::member_record* r : table.live()) {
                if (r->has_spool && r->host != table.self().host) {
                    out.push_back(r->peer_endpoint());
                }
            }
            return out;
        });
    const peer::bulk_message request{peer::encode(peer::find_job{std::string(job)}), {}};
    for (const std::string& endpoint : spools) {
        const auto answer = m_context.transport.bulk_call(endpoint, peer::message_type::find_job,
                                                          request, find_job_timeout);
        const auto record =
            answer ? batch::job_record_from_json(answer.value().payload) : std::nullopt;
        if (record && (!best || std::pair(record->epoch, record->done) >
                                    std::pair(best->epoch, best->done))) {
            best = record;
        }
    }
    if (!best) {
        return error{error_code::unavailable,
                     "the key-value service is unreachable and no live host knows the job",
                     run_state::not_run, seconds(5)};
    }
    return *std::move(best);
}

void job_copy_manager::handle_job_stopped(const batch::job_record& record) {
    {
        const absl::MutexLock lock(&m_mutex);
        const auto found = m_local_copies.find({record.job, record.storage});
        if (found != m_local_copies.end()) {
            found->second.record = record;
        }
    }
    // The host with the other copy needs the final state, too.
    notify(record);
}

void job_copy_manager::start() {
    scan_spool();
    m_ticker.start(step_interval, [this] { step(); });
}

void job_copy_manager::scan_spool() {
    for (const std::string& storage : m_copies.local().list()) {
        add_storage(storage);
    }
}

void job_copy_manager::add_storage(std::string_view storage) {
    const result<std::string> job = m_copies.local().read(storage, job_file, 0, max_job_id_bytes);
    if (!job || job.value().empty()) {
        return;
    }
    const absl::MutexLock lock(&m_mutex);
    local_copy& copy = m_local_copies[{job.value(), std::string(storage)}];
    copy.first_seen = m_context.clock();
    copy.next_check = {};
}

void job_copy_manager::mark_changed(std::string_view job) {
    m_committer.mark_changed(job);
    {
        const absl::MutexLock lock(&m_mutex);
        for (auto it = m_local_copies.lower_bound({std::string(job), {}});
             it != m_local_copies.end() && it->first.job == job; ++it) {
            it->second.next_check = {};
            // Makes the next check read the record again.
            it->second.record_is_stale = true;
        }
    }
    m_ticker.wake();
}

void job_copy_manager::notify(const batch::job_record& record) {
    std::vector<std::string> hosts = record.copies;
    hosts.push_back(record.owner);
    for (const std::string& host : hosts) {
        if (host == m_context.settings.host) {
            add_storage(record.storage);
            mark_changed(record.job);
            continue;
        }
        const std::string endpoint =
            m_members.with_table([&host](const membership::member_table& table) {
                const membership::member* m = table.find(host);
                return m == nullptr ? std::string() : m->record.peer_endpoint();
            });
        if (!endpoint.empty()) {
            m_context.transport.send(endpoint, peer::message_type::job_notice,
                                     peer::encode(peer::job_notice{record.job}));
        }
    }
}

void job_copy_manager::step() {
    const time_point now = m_context.clock();
    std::vector<std::pair<storage_key, local_copy>> due;
    {
        const absl::MutexLock lock(&m_mutex);
        for (auto& [key, copy] : m_local_copies) {
            if (now >= copy.next_check) {
                due.emplace_back(key, copy);
                copy.next_check = now + check_interval_running;
            }
        }
    }
    for (auto& [key, copy] : due) {
        check(key, std::move(copy));
    }
    m_context.metrics.gauge("jobs_owned", static_cast<double>(m_table.size()));
}

bool job_copy_manager::may_claim(const batch::job_record& record) const {
    const std::string& self = m_context.settings.host;
    // A record that names this host while the job is not in the table stems from an earlier run of
    // this daemon, or from a claim that took effect although its response was lost.
    const bool owned_here = m_table.owns(record.job);
    return m_members.with_table([&](const membership::member_table& table) {
        const auto is_live = [&table, &self](const std::string& host) {
            const membership::member* m = table.find(host);
            return host == self || (m != nullptr && m->status == membership::member_status::live);
        };
        if (table.self().leaving || owned_here) {
            return false;
        }
        if (record.owner == self) {
            return true;
        }
        if (!record.owner.empty() && is_live(record.owner)) {
            return false;
        }
        // Only the first live host of the copies claims; this normally avoids races.
        const auto first = std::ranges::find_if(record.copies, is_live);
        return first != record.copies.end() && *first == self;
    });
}

bool job_copy_manager::is_running_here(const std::string& job, local_copy& copy) const {
    const absl::MutexLock lock(&m_table.mutex);
    const auto found = m_table.jobs.find(job);
    if (found == m_table.jobs.end()) {
        return false;
    }
    copy.record = found->second->stored.record;
    return !found->second->copy_failing_since;
}

bool job_copy_manager::needs_record(const local_copy& copy) const {
    if (copy.record.job.empty() || copy.record_is_stale) {
        return true;
    }
    const bool copy_lost = std::ranges::any_of(copy.record.copies, [&](const std::string& host) {
        return host != m_context.settings.host && m_repair.is_lost(host, copy.verified);
    });
    return copy_lost || (!copy.record.ended() && may_claim(copy.record));
}

void job_copy_manager::check(const storage_key& key, local_copy copy) {
    const time_point now = m_context.clock();
    if (is_running_here(key.job, copy)) {
        update(key, copy);
        return;
    }
    if (!needs_record(copy)) {
        copy.next_check =
            now + (copy.record.ended() ? check_interval_ended : check_interval_running);
        update(key, copy);
        return;
    }
    result<stored_job> found = m_jobs.load(key.job);
    if (found) {
        process_record(key, std::move(copy), std::move(found.value()));
        return;
    }
    const bool unknown = found.error().code == error_code::not_found;
    if (unknown && now - copy.first_seen > orphan_age) {
        remove_storage(key);
    }
}

void job_copy_manager::remove_storage(const storage_key& key) {
    m_copies.local().remove(key.storage);
    const absl::MutexLock lock(&m_mutex);
    m_local_copies.erase(key);
}

void job_copy_manager::process_record(const storage_key& key, local_copy copy, stored_job found) {
    const bool is_copy_host = contains_host(found.record.copies, m_context.settings.host);
    if (!is_copy_host || found.record.storage != key.storage) {
        // The record names another submission's storage, or another host replaced this copy.
        remove_storage(key);
        return;
    }
    const repair_outcome repaired = m_repair.repair(found, copy.verified);
    if (repaired == repair_outcome::replaced) {
        m_committer.set_record(found);
        notify(found.record);
    }
    copy.record = found.record;
    copy.record_is_stale = false;
    const bool missing = repaired == repair_outcome::missing;
    copy.next_check =
        m_context.clock() + (missing ? check_interval_copy_missing : check_interval_running);
    update(key, copy);
    if (!found.record.ended() && may_claim(found.record)) {
        claim(std::move(found));
    }
}

void job_copy_manager::update(const storage_key& key, const local_copy& copy) {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_local_copies.find(key);
    if (found != m_local_copies.end()) {
        found->second.record = copy.record;
        found->second.record_is_stale = copy.record_is_stale;
        found->second.verified = copy.verified;
        found->second.next_check = std::max(found->second.next_check, copy.next_check);
    }
}

void job_copy_manager::claim(stored_job found) {
    batch::job_record next = found.record;
    ++next.epoch;
    next.owner = m_context.settings.host;
    next.owner_incarnation = m_context.incarnation;
    const result<platform::swap_outcome> outcome = m_jobs.save(found, next);
    if (!outcome || outcome.value() != platform::swap_outcome::written) {
        return;
    }
    std::vector<batch::item_entry> entries;
    const result<void> restored =
        m_jobs.read_entries(found.record, [&entries](const batch::item_entry& entry) {
            entries.push_back({entry.index, entry.is_intent, entry.failed, {}});
            return true;
        });
    if (!restored) {
        release_job(std::move(found));
        return;
    }
    m_committer.start_job(found, entries);
}

void job_copy_manager::release_job(stored_job job) {
    batch::job_record next = job.record;
    next.owner.clear();
    next.owner_incarnation = 0;
    if (m_jobs.save(job, next)) {
        notify(next);
    }
}

void job_copy_manager::release_jobs() {
    {
        const absl::MutexLock lock(&m_table.mutex);
        m_table.releasing_jobs = true;
        for (auto& [id, job] : m_table.jobs) {
            cancel_running(*job);
        }
    }
    // The committer is still running and commits the results of items that have ended.
    const time_point settle_deadline = m_context.clock() + seconds(3);
    const auto settled = [this] {
        return std::ranges::all_of(m_table.jobs, [](const auto& e) {
            return e.second->running.empty() && e.second->progress.uncommitted().empty() &&
                   !e.second->busy;
        });
    };
    std::vector<stored_job> jobs;
    {
        const absl::MutexLock lock(&m_table.mutex);
        m_table.mutex.AwaitWithTimeout(absl::Condition(&settled),
                                       absl::FromChrono(settle_deadline - m_context.clock()));
        for (auto& [id, job] : m_table.jobs) {
            job->busy = true;
            jobs.push_back(job->stored);
        }
        m_table.jobs.clear();
    }
    for (stored_job& job : jobs) {
        release_job(std::move(job));
    }
}

} // namespace eelgrassdoor::service
