#include "base/digest.hpp"
#include "base/text.hpp"
#include "peer/codec.hpp"
#include "service/job_copy_manager.hpp"
#include "service/job_intake.hpp"

#include <algorithm>
#include <optional>

namespace eelgrassdoor::service {

namespace {

constexpr duration step_interval = milliseconds(200);
constexpr duration look_interval_running = seconds(2);
constexpr duration look_interval_ended = seconds(10);
constexpr duration look_interval_lost = seconds(1);
/// A storage without a record was never acknowledged; it is removed after this time.
constexpr duration orphan_age = seconds(600);
constexpr duration find_timeout = seconds(1);

bool contains(const std::vector<std::string>& hosts, std::string_view host) {
    return std::ranges::find(hosts, host) != hosts.end();
}

} // namespace

job_keeper::job_keeper(runtime& shared, member_service& members, document_service& documents,
                       copy_store& copies, job_store& jobs, job_committer& committer,
                       job_table& table)
    : m_shared(shared), m_members(members), m_copies(copies), m_jobs(jobs), m_committer(committer),
      m_table(table), m_repair(shared, members, documents, copies, jobs) {
    m_copies.on_stored([this](std::string_view storage, std::string_view file) {
        if (file == job_file) {
            add_storage(storage);
        }
    });
    m_shared.node.handle(peer::message_type::job_notice,
                         [this](const peer::envelope& e, std::string_view) {
                             if (const auto notice = peer::decode<peer::job_notice>(e.body)) {
                                 note_changed(notice->job);
                             }
                             return std::optional<std::string>();
                         });
    m_shared.node.handle_bulk(peer::message_type::find_job, [this](const peer::bulk_message& m) {
        const auto wanted = peer::decode<peer::find_job>(m.head);
        const auto record = wanted ? find_kept(wanted->job) : std::nullopt;
        return peer::bulk_message{{}, record ? batch::to_json(*record) : std::string()};
    });
    m_committer.on_released([this](const batch::job_record& r) { note_released(r); });
}

std::optional<batch::job_record> job_keeper::find_kept(std::string_view job) {
    {
        const absl::MutexLock lock(&m_table.mutex);
        const auto owned = m_table.jobs.find(job);
        if (owned != m_table.jobs.end()) {
            return owned->second->stored.record;
        }
    }
    const absl::MutexLock lock(&m_mutex);
    for (auto it = m_kept.lower_bound({std::string(job), {}});
         it != m_kept.end() && it->first.job == job; ++it) {
        if (!it->second.record.job.empty()) {
            return it->second.record;
        }
    }
    return std::nullopt;
}

result<batch::job_record> job_keeper::find_with_peers(std::string_view job) {
    std::optional<batch::job_record> best = find_kept(job);
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
    const peer::bulk_message question{peer::encode(peer::find_job{std::string(job)}), {}};
    for (const std::string& endpoint : spools) {
        const auto answer =
            m_shared.node.bulk_call(endpoint, peer::message_type::find_job, question, find_timeout);
        const auto record =
            answer ? batch::job_record_from_json(answer.value().payload) : std::nullopt;
        if (record && (!best || std::pair(record->epoch, record->done) >
                                    std::pair(best->epoch, best->done))) {
            best = record;
        }
    }
    if (!best) {
        return error{error_code::unavailable,
                     "the key-value service is out and no live host knows the job",
                     run_state::not_run, seconds(5)};
    }
    return *std::move(best);
}

void job_keeper::note_released(const batch::job_record& record) {
    {
        const absl::MutexLock lock(&m_mutex);
        const auto found = m_kept.find({record.job, record.storage});
        if (found != m_kept.end()) {
            found->second.record = record;
        }
    }
    // The host of the other copy learns how the job ended.
    notify(record);
}

void job_keeper::start() {
    scan_spool();
    m_ticker.start(step_interval, [this] { step(); });
}

void job_keeper::scan_spool() {
    for (const std::string& storage : m_copies.local().list()) {
        add_storage(storage);
    }
}

void job_keeper::add_storage(std::string_view storage) {
    const result<std::string> job = m_copies.local().read(storage, job_file, 0, max_job_id_bytes);
    if (!job || job.value().empty()) {
        return;
    }
    const absl::MutexLock lock(&m_mutex);
    kept_job& kept = m_kept[{job.value(), std::string(storage)}];
    kept.first_seen = m_shared.clock();
    kept.next_look = {};
}

void job_keeper::note_changed(std::string_view job) {
    m_committer.note_changed(job);
    {
        const absl::MutexLock lock(&m_mutex);
        for (auto it = m_kept.lower_bound({std::string(job), {}});
             it != m_kept.end() && it->first.job == job; ++it) {
            it->second.next_look = {};
            // The record known here may be old; the next look reads it again.
            it->second.record_is_old = true;
        }
    }
    m_ticker.wake();
}

void job_keeper::notify(const batch::job_record& record) {
    std::vector<std::string> hosts = record.copies;
    hosts.push_back(record.owner);
    for (const std::string& host : hosts) {
        if (host == m_shared.settings.host) {
            add_storage(record.storage);
            note_changed(record.job);
            continue;
        }
        const std::string endpoint =
            m_members.with_table([&host](const membership::member_table& table) {
                const membership::member* m = table.find(host);
                return m == nullptr ? std::string() : m->record.peer_endpoint();
            });
        if (!endpoint.empty()) {
            m_shared.node.send(endpoint, peer::message_type::job_notice,
                               peer::encode(peer::job_notice{record.job}));
        }
    }
}

void job_keeper::step() {
    const time_point now = m_shared.clock();
    std::vector<std::pair<storage_key, kept_job>> due;
    {
        const absl::MutexLock lock(&m_mutex);
        for (auto& [key, kept] : m_kept) {
            if (now >= kept.next_look) {
                due.emplace_back(key, kept);
                kept.next_look = now + look_interval_running;
            }
        }
    }
    for (auto& [key, kept] : due) {
        look(key, std::move(kept));
    }
    m_shared.numbers.gauge("jobs_owned", static_cast<double>(m_table.size()));
}

bool job_keeper::may_claim(const batch::job_record& record) const {
    const std::string& self = m_shared.settings.host;
    // Also when an earlier claim of this daemon took effect and its outcome was not learnt, or when
    // the owner was an earlier start of it.
    const bool runs_here = m_table.owns(record.job);
    return m_members.with_table([&](const membership::member_table& table) {
        const auto is_live = [&table, &self](const std::string& host) {
            const membership::member* m = table.find(host);
            return host == self || (m != nullptr && m->status == membership::member_status::live);
        };
        if (table.self().leaving || runs_here) {
            return false;
        }
        if (record.owner == self) {
            return true;
        }
        if (!record.owner.empty() && is_live(record.owner)) {
            return false;
        }
        // The first live copy claims, so that two do not race as a rule.
        const auto first = std::ranges::find_if(record.copies, is_live);
        return first != record.copies.end() && *first == self;
    });
}

bool job_keeper::runs_well_here(const std::string& job, kept_job& kept) const {
    const absl::MutexLock lock(&m_table.mutex);
    const auto found = m_table.jobs.find(job);
    if (found == m_table.jobs.end()) {
        return false;
    }
    kept.record = found->second->stored.record;
    return !found->second->copy_failing_since;
}

bool job_keeper::needs_record(const kept_job& kept) const {
    if (kept.record.job.empty() || kept.record_is_old) {
        return true;
    }
    const bool copy_lost = std::ranges::any_of(kept.record.copies, [&](const std::string& host) {
        return host != m_shared.settings.host && m_repair.is_lost(host, kept.checked);
    });
    return copy_lost || (!kept.record.ended() && may_claim(kept.record));
}

void job_keeper::look(const storage_key& key, kept_job kept) {
    const time_point now = m_shared.clock();
    if (runs_well_here(key.job, kept)) {
        update(key, kept);
        return;
    }
    if (!needs_record(kept)) {
        kept.next_look = now + (kept.record.ended() ? look_interval_ended : look_interval_running);
        update(key, kept);
        return;
    }
    result<stored_job> found = m_jobs.load(key.job);
    if (found) {
        act_on(key, std::move(kept), std::move(found.value()));
        return;
    }
    const bool unknown = found.error().code == error_code::not_found;
    if (unknown && now - kept.first_seen > orphan_age) {
        drop(key);
    }
}

void job_keeper::drop(const storage_key& key) {
    m_copies.local().remove(key.storage);
    const absl::MutexLock lock(&m_mutex);
    m_kept.erase(key);
}

void job_keeper::act_on(const storage_key& key, kept_job kept, stored_job found) {
    const bool named = contains(found.record.copies, m_shared.settings.host);
    if (!named || found.record.storage != key.storage) {
        // Another submission of the same job was kept, or another host took this copy's place.
        drop(key);
        return;
    }
    const repair_outcome repaired = m_repair.repair(found, kept.checked);
    if (repaired == repair_outcome::replaced) {
        m_committer.set_record(found);
        notify(found.record);
    }
    kept.record = found.record;
    kept.record_is_old = false;
    const bool missing = repaired == repair_outcome::missing;
    kept.next_look = m_shared.clock() + (missing ? look_interval_lost : look_interval_running);
    update(key, kept);
    if (!found.record.ended() && may_claim(found.record)) {
        claim(std::move(found));
    }
}

void job_keeper::update(const storage_key& key, const kept_job& kept) {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_kept.find(key);
    if (found != m_kept.end()) {
        found->second.record = kept.record;
        found->second.record_is_old = kept.record_is_old;
        found->second.checked = kept.checked;
        found->second.next_look = std::max(found->second.next_look, kept.next_look);
    }
}

void job_keeper::claim(stored_job found) {
    batch::job_record next = found.record;
    ++next.epoch;
    next.owner = m_shared.settings.host;
    next.owner_incarnation = m_shared.incarnation;
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
        give_up_one(std::move(found));
        return;
    }
    m_committer.take(found, entries);
}

void job_keeper::give_up_one(stored_job job) {
    batch::job_record next = job.record;
    next.owner.clear();
    next.owner_incarnation = 0;
    if (m_jobs.save(job, next)) {
        notify(next);
    }
}

void job_keeper::give_up() {
    {
        const absl::MutexLock lock(&m_table.mutex);
        m_table.giving_up = true;
        for (auto& [id, job] : m_table.jobs) {
            cancel_running(*job);
        }
    }
    // What has ended is committed by the committer, which still runs.
    const time_point give_up_at = m_shared.clock() + seconds(3);
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
                                       absl::FromChrono(give_up_at - m_shared.clock()));
        for (auto& [id, job] : m_table.jobs) {
            job->busy = true;
            jobs.push_back(job->stored);
        }
        m_table.jobs.clear();
    }
    for (stored_job& job : jobs) {
        give_up_one(std::move(job));
    }
}

} // namespace eelgrassdoor::service
