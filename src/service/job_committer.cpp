#include "service/job_committer.hpp"

#include "base/text.hpp"
#include "batch/item_line.hpp"
#include "service/job_intake.hpp"
#include "spool/segment.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::service {

namespace {

using batch::job_state;

constexpr duration step_interval = milliseconds(50);
constexpr duration commit_interval = milliseconds(400);
constexpr std::size_t commit_entries = 512;
/// A record that was not written for this time is read, to detect cancellation.
constexpr duration refresh_interval = seconds(2);
constexpr duration retry_delay = milliseconds(200);

/// The committed size in bytes of the segment that the record's owner writes.
std::uint64_t own_segment_bytes(const batch::job_record& record) {
    const bool has_segment =
        !record.segments.empty() && record.segments.back().epoch == record.epoch;
    return has_segment ? record.segments.back().bytes : 0;
}

} // namespace

job_committer::job_committer(daemon_context& context, copy_store& copies, job_store& jobs,
                             job_table& table)
    : m_context(context), m_copies(copies), m_jobs(jobs), m_table(table),
      m_job_stopped_hook([](const batch::job_record&) {}) {}

void job_committer::start() {
    m_ticker.start(step_interval, [this] { start_commits(); });
}

void job_committer::start_job(const stored_job& job,
                              const std::vector<batch::item_entry>& restored) {
    const std::string items = m_copies.local().path(job.record.storage, items_file);
    const auto owned = std::make_shared<owned_job>(job, items, m_context.clock());
    for (const batch::item_entry& entry : restored) {
        owned->progress.restore(entry);
    }
    for (const std::uint64_t index : owned->progress.take_unresolved_intents()) {
        const auto item = batch::parse_item(owned->reader.read(index));
        const std::string id = item ? item.value().custom_id : str_cat("item ", index);
        owned->progress.add_result(
            {index, false, true,
             batch::error_line(id, "unknown",
                               "the item may have run before the host that owned the job failed")});
    }
    // The reader cannot go back to items that it has passed.
    owned->reader = item_reader(items);
    m_context.events.emit(observe::event::job_claimed, job.record.job,
                          {{"epoch", std::to_string(job.record.epoch)},
                           {"done", std::to_string(owned->progress.done())}});
    const absl::MutexLock lock(&m_table.mutex);
    m_table.jobs[job.record.job] = owned;
}

void job_committer::mark_changed(std::string_view job) {
    {
        const absl::MutexLock lock(&m_table.mutex);
        const auto found = m_table.jobs.find(job);
        if (found == m_table.jobs.end()) {
            return;
        }
        found->second->refresh_requested = true;
    }
    m_ticker.wake();
}

void job_committer::set_record(const stored_job& job) {
    const absl::MutexLock lock(&m_table.mutex);
    const auto found = m_table.jobs.find(job.record.job);
    if (found != m_table.jobs.end()) {
        found->second->stored = job;
        found->second->copy_failing_since.reset();
    }
}

bool job_committer::commit_is_due(const owned_job& job, time_point now) const {
    if (job.busy || now < job.retry_at) {
        return false;
    }
    if (job.refresh_requested) {
        return true;
    }
    const std::size_t waiting = job.progress.uncommitted().size();
    const bool ending = job.progress.all_done() ||
                        (job.stored.record.state == job_state::cancelling && job.running.empty());
    const bool due = waiting > 0 && (waiting >= commit_entries || ending ||
                                     now - job.committed_at >= commit_interval);
    return due || ending || now - job.record_synced_at >= refresh_interval;
}

void job_committer::start_commits() {
    const time_point now = m_context.clock();
    std::vector<std::shared_ptr<owned_job>> due;
    {
        const absl::MutexLock lock(&m_table.mutex);
        for (auto& [id, job] : m_table.jobs) {
            if (commit_is_due(*job, now)) {
                job->busy = true;
                due.push_back(job);
            }
        }
    }
    for (const std::shared_ptr<owned_job>& job : due) {
        if (!m_context.workers.submit([this, job] { commit(job); })) {
            const absl::MutexLock lock(&m_table.mutex);
            job->busy = false;
        }
    }
}

job_committer::commit_plan job_committer::plan_commit(const std::shared_ptr<owned_job>& job) {
    commit_plan plan;
    plan.job = job;
    plan.next = job->stored.record;
    batch::job_record& next = plan.next;
    if (next.segments.empty() || next.segments.back().epoch != next.epoch) {
        next.segments.push_back({next.epoch, 0});
    }
    plan.offset = next.segments.back().bytes;
    for (const batch::item_entry& entry : job->progress.uncommitted()) {
        if (plan.entries == commit_entries) {
            break;
        }
        plan.bytes += spool::encode_record(batch::encode_entry(entry));
        next.done += entry.is_intent ? 0 : 1;
        next.failed += entry.failed ? 1 : 0;
        ++plan.entries;
    }
    next.segments.back().bytes += plan.bytes.size();
    if (next.segments.back().bytes == 0) {
        next.segments.pop_back();
    }
    const time_point now = m_context.clock();
    next.spent_s += to_seconds(now - job->accounted_until);
    const bool all_committed = plan.entries == job->progress.uncommitted().size();
    if (job->progress.all_done() && all_committed) {
        next.state = job_state::finished;
    } else if (next.state == job_state::cancelling && job->running.empty() && all_committed) {
        next.state = job_state::cancelled;
    }
    return plan;
}

bool job_committer::write_copies(const commit_plan& plan) {
    if (plan.bytes.empty()) {
        return true;
    }
    const std::string file = batch::segment_file(plan.next.epoch);
    for (const std::string& host : plan.next.copies) {
        if (!m_copies.write(host, plan.next.storage, file, plan.offset, plan.bytes, true)) {
            return false;
        }
    }
    return true;
}

void job_committer::commit(const std::shared_ptr<owned_job>& job) {
    commit_plan plan;
    stored_job stored;
    bool nothing_to_write = false;
    {
        const absl::MutexLock lock(&m_table.mutex);
        plan = plan_commit(job);
        stored = job->stored;
        nothing_to_write =
            job->refresh_requested || (plan.entries == 0 && plan.next.state == stored.record.state);
    }
    if (nothing_to_write) {
        refresh(job);
        return;
    }
    const bool written = write_copies(plan);
    {
        const absl::MutexLock lock(&m_table.mutex);
        if (!written && !job->copy_failing_since) {
            job->copy_failing_since = m_context.clock();
        } else if (written) {
            job->copy_failing_since.reset();
            const bool has_segment = !plan.next.segments.empty();
            job->attempts.push_back(
                {has_segment ? plan.next.segments.back().bytes : 0, plan.entries});
        }
    }
    if (!written) {
        refresh(job);
        return;
    }
    const result<platform::swap_outcome> outcome = m_jobs.save(stored, plan.next);
    if (outcome && outcome.value() == platform::swap_outcome::written) {
        apply_committed(plan, stored);
        return;
    }
    refresh(job);
}

void job_committer::pop_committed(owned_job& job, std::size_t entries) {
    for (const std::uint64_t intent : job.progress.remove_committed(entries)) {
        job.awaiting_intent.erase(intent);
        job.intent_committed.insert(intent);
        job.progress.requeue(intent);
    }
}

void job_committer::apply_committed(const commit_plan& plan, const stored_job& stored) {
    const time_point now = m_context.clock();
    m_context.events.emit(observe::event::job_progress, stored.record.job,
                          {{"done", std::to_string(stored.record.done)},
                           {"state", std::string(batch::to_string(stored.record.state))}});
    {
        const absl::MutexLock lock(&m_table.mutex);
        owned_job& job = *plan.job;
        job.stored = stored;
        job.record_synced_at = now;
        job.committed_at = now;
        job.accounted_until = now;
        job.attempts.clear();
        pop_committed(job, plan.entries);
        job.busy = false;
    }
    if (stored.record.ended()) {
        m_context.events.emit(stored.record.state == job_state::finished
                                  ? observe::event::job_finished
                                  : observe::event::job_cancelled,
                              stored.record.job);
        stop_job(plan.job, false);
    }
    m_ticker.wake();
}

void job_committer::refresh(const std::shared_ptr<owned_job>& job) {
    std::string id;
    {
        const absl::MutexLock lock(&m_table.mutex);
        id = job->stored.record.job;
    }
    const time_point query_sent_at = m_context.clock();
    const result<stored_job> found = m_jobs.load(id);
    const auto outcome = [&] {
        const absl::MutexLock lock(&m_table.mutex);
        job->busy = false;
        job->refresh_requested = false;
        if (!found) {
            job->retry_at = query_sent_at + retry_delay;
            return refresh_outcome::still_owned;
        }
        return apply_record(*job, found.value(), query_sent_at);
    }();
    if (outcome != refresh_outcome::still_owned) {
        stop_job(job, outcome == refresh_outcome::lost);
    }
}

job_committer::refresh_outcome job_committer::apply_record(owned_job& job, const stored_job& found,
                                                           time_point query_sent_at) {
    const batch::job_record& current = found.record;
    const batch::job_record& known = job.stored.record;
    if (current.epoch != known.epoch || current.owner != known.owner ||
        current.owner_incarnation != known.owner_incarnation) {
        return refresh_outcome::lost;
    }
    // A longer segment was committed by this daemon in a call whose response was lost.
    const std::uint64_t bytes = own_segment_bytes(current);
    if (bytes > own_segment_bytes(known)) {
        const auto attempt = std::ranges::find(job.attempts, bytes, &commit_attempt::segment_bytes);
        if (attempt == job.attempts.end()) {
            return refresh_outcome::lost;
        }
        pop_committed(job, attempt->entries);
        job.attempts.clear();
    }
    job.stored = found;
    job.record_synced_at = query_sent_at;
    if (current.state == job_state::cancelling) {
        cancel_running(job);
    }
    return current.ended() ? refresh_outcome::ended : refresh_outcome::still_owned;
}

void job_committer::stop_job(const std::shared_ptr<owned_job>& job, bool lost) {
    batch::job_record record;
    {
        const absl::MutexLock lock(&m_table.mutex);
        record = job->stored.record;
        cancel_running(*job);
        m_table.jobs.erase(record.job);
    }
    if (lost) {
        m_context.events.emit(observe::event::job_lost, record.job);
    }
    m_job_stopped_hook(record);
}

} // namespace eelgrassdoor::service
