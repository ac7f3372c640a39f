#include "service/item_dispatcher.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"
#include "batch/item_line.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::service {

namespace {

using batch::attempt_outcome;

constexpr duration step_interval = milliseconds(50);
/// Allocators announce changes; requests only renew the grants, and must come more often than
/// slot_allocator::lease_duration.
constexpr duration grant_renewal_interval = seconds(1);
/// Used instead while no slots are granted.
constexpr duration grant_retry_interval = milliseconds(200);
/// A daemon runs batch items on at most this many targets, so that the cost of renewing grants does
/// not grow with the fleet.
constexpr std::size_t max_batch_targets = 16;
constexpr std::uint32_t max_slots_per_target = 64;
/// A job with this many uncommitted results sends no new items until some are committed.
constexpr std::size_t max_uncommitted = 2048;
/// No new items of a job are sent when its record was not read or written for this time: the job
/// may have been cancelled or claimed by another daemon.
constexpr duration max_record_age = seconds(4);
constexpr duration target_backoff = milliseconds(300);

} // namespace

item_dispatcher::item_dispatcher(daemon_context& context, member_service& members,
                                 target_service& targets, batch_slot_service& batch_slots,
                                 job_table& table)
    : m_context(context), m_members(members), m_targets(targets), m_batch_slots(batch_slots),
      m_table(table) {
    m_batch_slots.on_grant_change([this](const std::string& target, std::uint32_t granted) {
        apply_grant_change(target, granted);
    });
}

void item_dispatcher::start() {
    m_ticker.start(step_interval, [this] { step(); });
}

void item_dispatcher::step() {
    renew_grants();
    dispatch();
}

std::uint32_t item_dispatcher::in_use(std::string_view target) const {
    std::uint32_t count = 0;
    for (const auto& [id, job] : m_table.jobs) {
        count += static_cast<std::uint32_t>(std::ranges::count_if(
            job->running, [target](const auto& e) { return e.second.target == target; }));
    }
    return count;
}

std::vector<batch_slot_request> item_dispatcher::make_slot_requests() {
    const config::document_ptr doc = m_context.configuration.get();
    if (doc == nullptr) {
        return {};
    }
    const std::uint64_t own_key = stable_hash(m_context.settings.host);
    std::vector<std::string> targets = m_targets.with_view([](const routing::target_view& view) {
        std::vector<std::string> out;
        for (const auto& [name, t] : view.targets()) {
            if (!t.info.leaving && t.report.slots > 0) {
                out.push_back(name);
            }
        }
        return out;
    });
    std::ranges::sort(targets, std::greater<>(),
                      [own_key](const std::string& t) { return rendezvous_weight(own_key, t); });
    targets.resize(std::min(targets.size(), max_batch_targets));
    const absl::MutexLock lock(&m_table.mutex);
    double weight = 0;
    bool has_waiting_items = false;
    for (const auto& [id, job] : m_table.jobs) {
        const auto customer = doc->parsed.customers.find(job->stored.record.customer);
        if (job->progress.has_next() && !m_table.releasing_jobs) {
            weight += customer == doc->parsed.customers.end() ? 1 : customer->second.weight;
            has_waiting_items = true;
        }
    }
    std::vector<batch_slot_request> out;
    for (const std::string& target : targets) {
        const std::uint32_t used = in_use(target);
        if (has_waiting_items || used > 0 || m_granted.contains(target)) {
            out.push_back({target, used, has_waiting_items ? max_slots_per_target : used, weight});
        }
    }
    return out;
}

void item_dispatcher::renew_grants() {
    const time_point now = m_context.clock();
    if (now < m_next_grant_renewal) {
        return;
    }
    const std::vector<batch_slot_request> requests = make_slot_requests();
    const std::map<std::string, std::uint32_t> granted = m_batch_slots.request_slots(requests);
    m_next_grant_renewal = now + (granted.empty() ? grant_retry_interval : grant_renewal_interval);
    const absl::MutexLock lock(&m_table.mutex);
    m_granted.clear();
    for (const batch_slot_request& request : requests) {
        const auto found = granted.find(request.target);
        if (found != granted.end() && found->second > 0) {
            m_granted[request.target] = found->second;
        }
    }
}

std::vector<item_dispatcher::free_slot> item_dispatcher::free_slots() {
    const time_point now = m_context.clock();
    std::vector<std::pair<std::string, std::uint32_t>> free;
    {
        const absl::MutexLock lock(&m_table.mutex);
        for (const auto& [target, granted] : m_granted) {
            const std::uint32_t used = in_use(target);
            const auto backoff = m_backoff_until.find(target);
            const bool backing_off = backoff != m_backoff_until.end() && now < backoff->second;
            if (granted > used && !backing_off) {
                free.emplace_back(target, granted - used);
            }
        }
    }
    std::vector<free_slot> out;
    m_targets.with_view([&](const routing::target_view& view) {
        for (const auto& [name, count] : free) {
            const auto found = view.targets().find(name);
            if (found == view.targets().end() || found->second.info.serves.empty()) {
                continue;
            }
            const routing::target_info& info = found->second.info;
            out.insert(out.end(), count, {name, info.endpoint, *info.serves.begin()});
        }
        return 0;
    });
    return out;
}

bool item_dispatcher::is_platform_unreachable_for_all() const {
    if (m_context.kv.reachable()) {
        return false;
    }
    return m_members.with_table([](const membership::member_table& table) {
        return std::ranges::none_of(table.live(), [&table](const membership::member_record* r) {
            return r->host != table.self().host && r->platform_reachable;
        });
    });
}

bool item_dispatcher::can_dispatch(const owned_job& job, time_point now,
                                   bool platform_unreachable_for_all) const {
    const bool record_is_current =
        now - job.record_synced_at < max_record_age || platform_unreachable_for_all;
    return job.stored.record.state == batch::job_state::running && job.progress.has_next() &&
           record_is_current && job.progress.uncommitted().size() < max_uncommitted;
}

std::vector<batch::ready_job> item_dispatcher::ready_jobs(const config::sheet& sheet,
                                                          time_point now,
                                                          bool platform_unreachable_for_all) const {
    std::vector<batch::ready_job> out;
    for (const auto& [id, job] : m_table.jobs) {
        if (!can_dispatch(*job, now, platform_unreachable_for_all)) {
            continue;
        }
        const batch::job_record& r = job->stored.record;
        const auto customer = sheet.customers.find(r.customer);
        const double weight = customer == sheet.customers.end() ? 1 : customer->second.weight;
        const time_point due = r.due_s > 0
                                   ? job->accounted_until + from_seconds(r.due_s - r.spent_s)
                                   : time_point::max();
        out.push_back({id, r.customer, weight, due});
    }
    return out;
}

void item_dispatcher::dispatch() {
    const config::document_ptr doc = m_context.configuration.get();
    const std::vector<free_slot> slots = free_slots();
    if (doc == nullptr || slots.empty()) {
        return;
    }
    const bool platform_unreachable_for_all = is_platform_unreachable_for_all();
    const time_point now = m_context.clock();
    const absl::MutexLock lock(&m_table.mutex);
    if (m_table.releasing_jobs) {
        return;
    }
    for (const free_slot& slot : slots) {
        const std::vector<batch::ready_job> ready =
            ready_jobs(doc->parsed, now, platform_unreachable_for_all);
        const std::optional<std::size_t> chosen = m_scheduler.pick(ready);
        if (!chosen) {
            return;
        }
        dispatch_next(m_table.jobs.find(ready[*chosen].job)->second, slot, doc->parsed);
    }
}

bool item_dispatcher::dispatch_next(const std::shared_ptr<owned_job>& job, const free_slot& slot,
                                    const config::sheet& sheet) {
    const std::optional<std::uint64_t> index = job->progress.next();
    if (!index) {
        return false;
    }
    const result<batch::item_line> item = batch::parse_item(job->reader.read(*index));
    if (!item) {
        fail_item(*job, *index, str_cat("item ", *index), "unreadable",
                  "the stored item is not valid");
        return false;
    }
    const auto route = sheet.routes.find(item.value().route);
    if (route == sheet.routes.end() || route->second.kind != config::route_kind::model) {
        fail_item(*job, *index, item.value().custom_id, "not_found",
                  str_cat("model \"", item.value().route, "\" does not exist"));
        return false;
    }
    if (route->second.model != slot.model) {
        job->progress.requeue(*index);
        return false;
    }
    if (!route->second.idempotent && !job->intent_committed.contains(*index)) {
        if (job->awaiting_intent.insert(*index).second) {
            job->progress.add_intent(*index);
        }
        return false;
    }
    const item_task task{job->stored.record.job, *index,      item.value(),
                         route->second,          slot.target, slot.endpoint};
    const auto running = std::make_shared<running_item>(m_context.clock());
    job->running[*index] = {running, slot.target};
    const bool started =
        m_context.workers.submit([this, job, task, running] { run_item(job, task, running); });
    if (!started) {
        job->running.erase(*index);
        job->progress.requeue(*index);
    }
    return started;
}

void item_dispatcher::run_item(const std::shared_ptr<owned_job>& job, const item_task& task,
                               const std::shared_ptr<running_item>& item) {
    const attempt_result attempt = item->run(task, m_context, m_targets);
    {
        const absl::MutexLock lock(&m_table.mutex);
        job->running.erase(task.index);
        handle_result(*job, task, attempt);
    }
    m_ticker.wake();
}

void item_dispatcher::handle_result(owned_job& job, const item_task& task,
                                    const attempt_result& attempt) {
    if (attempt.outcome == attempt_outcome::answered) {
        job.reader.discard(task.index);
        job.progress.add_result(
            {task.index, false, false,
             batch::response_line(task.item.custom_id, attempt.status, attempt.body)});
        m_context.metrics.count("batch_items_total");
        return;
    }
    if (attempt.outcome == attempt_outcome::yielded) {
        m_context.metrics.count("batch_items_yielded_total");
    } else {
        m_backoff_until[task.target] = m_context.clock() + target_backoff;
    }
    // Whether a stopped item has run is as uncertain as after a broken connection.
    const bool outcome_unknown =
        !task.route.idempotent && attempt.outcome == attempt_outcome::yielded;
    const attempt_outcome outcome = outcome_unknown ? attempt_outcome::failed : attempt.outcome;
    if (!job.progress.record_attempt(task.index, outcome, task.route.idempotent)) {
        return;
    }
    if (!task.route.idempotent && attempt.status == 0) {
        fail_item(job, task.index, task.item.custom_id, "unknown",
                  "the item may have run and is not idempotent; it is not sent again");
        return;
    }
    fail_item(job, task.index, task.item.custom_id, "target_failed", attempt.message);
}

void item_dispatcher::fail_item(owned_job& job, std::uint64_t index, std::string_view custom_id,
                                std::string_view code, std::string_view message) {
    job.reader.discard(index);
    job.progress.add_result({index, false, true, batch::error_line(custom_id, code, message)});
    m_context.metrics.count("batch_items_failed_total");
}

void item_dispatcher::apply_grant_change(const std::string& target, std::uint32_t granted) {
    struct candidate {
        time_point started_at;
        std::shared_ptr<running_item> item;
    };
    std::vector<candidate> on_target;
    {
        const absl::MutexLock lock(&m_table.mutex);
        m_granted[target] = granted;
        for (const auto& [id, job] : m_table.jobs) {
            for (const auto& [index, entry] : job->running) {
                // Items on non-idempotent routes are not stopped: they must not run twice.
                if (entry.target == target && !job->intent_committed.contains(index)) {
                    on_target.push_back({entry.item->started_at(), entry.item});
                }
            }
        }
    }
    std::ranges::sort(on_target, std::less<>(), &candidate::started_at);
    for (std::size_t i = granted; i < on_target.size(); ++i) {
        on_target[i].item->cancel();
    }
}

} // namespace eelgrassdoor::service
