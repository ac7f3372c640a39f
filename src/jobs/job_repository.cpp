#include "jobs/job_repository.hpp"

#include "base/text.hpp"
#include "net/notification.hpp"

#include <algorithm>

namespace eelgrassdoor::jobs {

namespace {

/// Delay before a failed commit is sent again.
constexpr duration retry_delay = milliseconds(150);

/// How long a refusal lasts, and at least lasts when it shares its lease with earlier ones. Longer
/// than a change whose response was lost may take until it takes effect.
constexpr duration refusal_lifetime = seconds(30);
constexpr duration min_refusal_lifetime = seconds(20);

/// Current revision of \p key, one of the conditions that did not all hold; 0 if it does not exist.
std::uint64_t revision_of(const store::kv_conflict& conflict, std::string_view key) {
    const auto found = std::find_if(conflict.current.begin(), conflict.current.end(),
                                    [&](const store::kv_item& item) { return item.key == key; });
    return found == conflict.current.end() ? 0 : found->revision;
}

/// Decodes the values and concatenates their entries. Fails when a value is malformed.
template <typename Entry>
result<std::vector<Entry>>
decode_values(const std::vector<store::kv_item>& values,
              std::optional<std::vector<Entry>> (*decode)(std::string_view)) {
    std::vector<Entry> all;
    for (const store::kv_item& value : values) {
        std::optional<std::vector<Entry>> part = decode(value.value);
        if (!part) {
            return error{error_code::internal, str_cat(value.key, " is malformed")};
        }
        std::move(part->begin(), part->end(), std::back_inserter(all));
    }
    return all;
}

/// Fills a page with the results from a position on, as far as they fit.
class result_lister {
public:
    result_lister(std::uint64_t total, std::uint64_t after, std::size_t max_bytes)
        : m_page{total, after, {}}, m_max_bytes(max_bytes) {}

    /// Adds the result at the next position; those before the first position of the page are
    /// skipped. Returns false when the page is full.
    bool add(const serving::item_result& next) {
        if (m_position < m_page.next) {
            ++m_position;
            return true;
        }
        m_bytes += listed_size(next);
        if (!m_page.results.empty() && m_bytes > m_max_bytes) {
            return false;
        }
        m_page.results.push_back(next);
        m_page.next = ++m_position;
        return true;
    }
    serving::result_page take() { return std::move(m_page); }

private:
    serving::result_page m_page;
    std::size_t m_max_bytes;
    std::size_t m_bytes = value_frame_bytes;
    /// Position of the next result.
    std::uint64_t m_position = 0;
};

/// Whether the current record is the one that \p wanted writes. Then an earlier attempt of the same
/// change took effect and its response was lost. job_state::change_id makes every record unique, so
/// checking the first record is enough for the whole transaction.
bool is_already_applied(const store::kv_conflict& conflict, const store::kv_write& wanted) {
    return std::any_of(
        conflict.current.begin(), conflict.current.end(), [&](const store::kv_item& item) {
            return item.key == wanted.key && item.value == wanted.value && item.revision != 0;
        });
}

} // namespace

net::task<result<store::commit_outcome>>
job_repository::commit_until(const store::kv_transaction& change, time_point deadline) {
    bool may_have_committed = false;
    for (;;) {
        result<store::commit_outcome> outcome = co_await m_store.commit(change);
        if (outcome) {
            record_revision(outcome.value());
            const auto* conflict = std::get_if<store::kv_conflict>(&outcome.value());
            if (conflict != nullptr && may_have_committed && !change.writes.empty() &&
                is_already_applied(*conflict, change.writes.front())) {
                for (const store::kv_item& item : conflict->current) {
                    if (item.key == change.writes.front().key) {
                        co_return store::commit_outcome(store::kv_committed{item.revision});
                    }
                }
            }
            co_return outcome;
        }
        may_have_committed = may_have_committed || outcome.error().run != run_state::not_run;
        if (is_refused_for_good(outcome.error()) || m_clock() + retry_delay >= deadline) {
            error failure = outcome.error();
            failure.run = may_have_committed ? run_state::unknown : run_state::not_run;
            m_log.write(
                observe::event::commit_failed,
                change.writes.empty() ? "" : change.writes.front().key,
                {{"reason", failure.message}, {"run", std::string(to_string(failure.run))}});
            co_return failure;
        }
        co_await net::sleep_for(retry_delay);
    }
}

void job_repository::record_revision(const store::commit_outcome& outcome) {
    if (const auto* committed = std::get_if<store::kv_committed>(&outcome)) {
        m_latest_revision = std::max(m_latest_revision, committed->revision);
    } else if (const auto* conflict = std::get_if<store::kv_conflict>(&outcome)) {
        for (const store::kv_item& item : conflict->current) {
            m_latest_revision = std::max(m_latest_revision, item.revision);
        }
    }
}

void job_repository::add_state_write(store::kv_transaction& change, job_state& state,
                                     std::uint64_t revision) {
    state.change_id = m_random.next();
    change.conditions.push_back({state_key(state.job), revision});
    change.writes.push_back({state_key(state.job), encode(state)});
}

net::task<result<change_outcome>> job_repository::create(job_state state,
                                                         std::vector<std::string> item_values,
                                                         time_point deadline,
                                                         std::uint64_t& revision) {
    const std::uint64_t latest_before = m_latest_revision;
    store::kv_transaction change;
    add_state_write(change, state, 0);
    change.conditions.push_back({refusal_key(state.job), 0});
    for (std::size_t part = 0; part < item_values.size(); ++part) {
        change.writes.push_back({items_key(state.job, part), std::move(item_values[part])});
    }
    for (;;) {
        const result<store::commit_outcome> outcome = co_await commit_until(change, deadline);
        if (!outcome) {
            co_return outcome.error();
        }
        if (const auto* committed = std::get_if<store::kv_committed>(&outcome.value())) {
            revision = committed->revision;
            co_return change_outcome::done;
        }
        const auto* conflict = std::get_if<store::kv_conflict>(&outcome.value());
        const std::uint64_t refusal =
            conflict == nullptr ? 0 : revision_of(*conflict, refusal_key(state.job));
        const bool exists =
            conflict == nullptr || revision_of(*conflict, state_key(state.job)) != 0;
        if (exists || refusal == change.conditions.back().revision) {
            co_return change_outcome::conflict;
        }
        if (refusal > latest_before) {
            // Its caller may have been promised after this attempt began that it creates no job.
            co_return error{error_code::unavailable,
                            str_cat("job ", state.job, " was refused meanwhile"),
                            run_state::not_run};
        }
        change.conditions.back().revision = refusal;
    }
}

net::task<result<std::uint64_t>> job_repository::lease_for_refusal() {
    const time_point asked_at = m_clock();
    if (asked_at >= m_refusal_lease.reuse_until) {
        const result<store::kv_lease> granted = co_await m_store.grant_lease(refusal_lifetime);
        if (!granted) {
            co_return granted.error();
        }
        m_refusal_lease = {granted.value().id,
                           asked_at + granted.value().ttl - min_refusal_lifetime};
    }
    co_return m_refusal_lease.id;
}

net::task<result<change_outcome>> job_repository::refuse(std::string job, time_point deadline) {
    const result<std::uint64_t> lease = co_await lease_for_refusal();
    if (!lease) {
        co_return lease.error();
    }
    store::kv_transaction change;
    change.conditions.push_back({state_key(job), 0});
    change.writes.push_back({refusal_key(job), "1", lease.value()});
    const result<store::commit_outcome> outcome = co_await commit_until(change, deadline);
    if (!outcome) {
        co_return outcome.error();
    }
    if (std::holds_alternative<store::kv_lease_ended>(outcome.value())) {
        m_refusal_lease = {};
        co_return error{error_code::unavailable,
                        str_cat("the lease for the refusal of job ", job, " has ended")};
    }
    co_return std::holds_alternative<store::kv_committed>(outcome.value())
        ? change_outcome::done
        : change_outcome::conflict;
}

net::task<result<std::optional<versioned_state>>> job_repository::read(std::string job) {
    result<std::optional<store::kv_item>> item =
        co_await m_store.get(state_key(job), store::consistency::linearizable);
    if (!item) {
        co_return item.error();
    }
    if (!item.value()) {
        co_return std::optional<versioned_state>();
    }
    std::optional<job_state> state = decode_state(item.value()->value);
    if (!state) {
        co_return error{error_code::internal, str_cat("the record of job ", job, " is malformed")};
    }
    co_return std::optional(versioned_state{std::move(*state), item.value()->revision});
}

net::task<result<std::vector<store::kv_item>>>
job_repository::list_all(std::string prefix, store::consistency consistency) {
    std::vector<store::kv_item> all;
    std::string after;
    for (;;) {
        result<store::kv_page> page = co_await m_store.list(prefix, after, consistency);
        if (!page) {
            co_return page.error();
        }
        for (store::kv_item& item : page.value().items) {
            after = item.key;
            all.push_back(std::move(item));
        }
        if (!page.value().has_more) {
            co_return all;
        }
    }
}

template <typename Entry>
net::task<result<std::vector<Entry>>>
job_repository::read_entries(std::string prefix,
                             std::optional<std::vector<Entry>> (*decode)(std::string_view)) {
    const result<std::vector<store::kv_item>> values =
        co_await list_all(prefix, store::consistency::linearizable);
    if (!values) {
        co_return values.error();
    }
    co_return decode_values(values.value(), decode);
}

net::task<result<std::vector<serving::submitted_item>>>
job_repository::read_items(std::string job) {
    return read_entries(str_cat(items_prefix, job, "/"), decode_items);
}

net::task<result<std::vector<serving::item_result>>> job_repository::read_results(std::string job) {
    return read_entries(str_cat(results_prefix, job, "/"), decode_results);
}

template <typename Entry>
net::task<result<void>>
job_repository::visit_entries(std::string prefix,
                              std::optional<std::vector<Entry>> (*decode)(std::string_view),
                              std::function<bool(Entry&)> visit) {
    std::string last_key;
    for (;;) {
        const result<store::kv_page> listed =
            co_await m_store.list(prefix, last_key, store::consistency::linearizable);
        if (!listed) {
            co_return listed.error();
        }
        for (const store::kv_item& value : listed.value().items) {
            last_key = value.key;
            std::optional<std::vector<Entry>> entries = decode(value.value);
            if (!entries) {
                co_return error{error_code::internal, str_cat(value.key, " is malformed")};
            }
            for (Entry& each : *entries) {
                if (!visit(each)) {
                    co_return success();
                }
            }
        }
        if (!listed.value().has_more) {
            co_return success();
        }
    }
}

net::task<result<serving::result_page>>
job_repository::read_page(job_state state, std::uint64_t after, std::size_t max_bytes) {
    result_lister lister(state.items, after, max_bytes);
    const std::function<bool(serving::item_result&)> add = [&](const serving::item_result& each) {
        return lister.add(each);
    };
    const result<void> read =
        co_await visit_entries(str_cat(results_prefix, state.job, "/"), decode_results, add);
    if (!read) {
        co_return read.error();
    }
    co_return lister.take();
}

net::task<result<std::optional<std::string>>> job_repository::read_item_body(std::string job,
                                                                             std::string item) {
    std::optional<std::string> body;
    const std::function<bool(serving::submitted_item&)> find = [&](serving::submitted_item& each) {
        if (each.id == item) {
            body = std::move(each.body);
        }
        return !body;
    };
    const result<void> read =
        co_await visit_entries(str_cat(items_prefix, job, "/"), decode_items, find);
    if (!read) {
        co_return read.error();
    }
    co_return body;
}

net::task<result<std::vector<versioned_state>>>
job_repository::read_all(store::consistency consistency) {
    const std::string prefix(state_prefix);
    const result<std::vector<store::kv_item>> values = co_await list_all(prefix, consistency);
    if (!values) {
        co_return values.error();
    }
    std::vector<versioned_state> all;
    for (const store::kv_item& value : values.value()) {
        std::optional<job_state> state = decode_state(value.value);
        if (state) {
            all.push_back({std::move(*state), value.revision});
        } else {
            m_log.write(observe::event::entry_rejected, value.key,
                        {{"reason", "the record of a job is malformed"}});
        }
    }
    co_return all;
}

net::task<result<change_outcome>> job_repository::append(std::vector<result_batch>& batches,
                                                         time_point deadline) {
    store::kv_transaction change;
    std::vector<job_state> next;
    for (const result_batch& batch : batches) {
        job_state state = batch.before.state;
        const std::uint64_t position = state.committed_count;
        state.committed_count += batch.results.size();
        add_state_write(change, state, batch.before.revision);
        change.writes.push_back({results_key(state.job, position), encode(batch.results)});
        next.push_back(std::move(state));
    }
    result<store::commit_outcome> outcome = co_await commit_until(change, deadline);
    if (!outcome) {
        co_return outcome.error();
    }
    const auto* committed = std::get_if<store::kv_committed>(&outcome.value());
    if (committed == nullptr) {
        co_return change_outcome::conflict;
    }
    for (std::size_t i = 0; i < batches.size(); ++i) {
        batches[i].before = {std::move(next[i]), committed->revision};
    }
    co_return change_outcome::done;
}

net::task<result<change_outcome>> job_repository::replace(job_state next, std::uint64_t& revision,
                                                          time_point deadline) {
    store::kv_transaction change;
    add_state_write(change, next, revision);
    result<store::commit_outcome> outcome = co_await commit_until(change, deadline);
    if (!outcome) {
        co_return outcome.error();
    }
    if (const auto* committed = std::get_if<store::kv_committed>(&outcome.value())) {
        revision = committed->revision;
        co_return change_outcome::done;
    }
    co_return change_outcome::conflict;
}

net::task<result<bool>> job_repository::cancel(std::string job, std::string customer,
                                               time_point deadline) {
    for (;;) {
        result<std::optional<versioned_state>> found = co_await read(job);
        if (!found) {
            error failure = found.error();
            // Nothing has been sent that could change the job.
            failure.run = run_state::not_run;
            co_return failure;
        }
        if (!found.value() || found.value()->state.customer != customer) {
            co_return false;
        }
        if (found.value()->state.cancelled) {
            co_return true;
        }
        job_state next = found.value()->state;
        next.cancelled = true;
        store::kv_transaction change;
        add_state_write(change, next, found.value()->revision);
        change.writes.push_back({cancelled_key(job), "1"});
        result<store::commit_outcome> outcome = co_await commit_until(change, deadline);
        if (!outcome) {
            co_return outcome.error();
        }
        if (std::holds_alternative<store::kv_committed>(outcome.value())) {
            co_return true;
        }
        if (m_clock() >= deadline) {
            co_return error{
                error_code::unavailable,
                str_cat("job ", job, " was changed by others on each attempt to cancel it")};
        }
    }
}

bool is_refused_for_good(const error& why) {
    return why.code == error_code::invalid_request;
}

serving::result_page make_page(const job_state& state,
                               const std::vector<serving::item_result>& results,
                               std::uint64_t after, std::size_t max_bytes) {
    result_lister lister(state.items, after, max_bytes);
    for (const serving::item_result& each : results) {
        if (!lister.add(each)) {
            break;
        }
    }
    return lister.take();
}

} // namespace eelgrassdoor::jobs
