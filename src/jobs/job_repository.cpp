#include "jobs/job_repository.hpp"

#include "base/text.hpp"
#include "net/notification.hpp"

#include <algorithm>

namespace eelgrassdoor::jobs {

namespace {

/// Pause before a change of unknown outcome is sent again.
constexpr duration repeat_pause = milliseconds(150);
/// Bytes of results in one answer; the protocol allows a megabyte.
constexpr std::size_t max_page_bytes = 700 * 1024;

/// The entries of all values, in the order of their keys.
template <typename Entry>
result<std::vector<Entry>>
join_values(const std::vector<store::kv_item>& values,
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

/// Whether the current record is the one that \p wanted writes: then an earlier copy of the change
/// took effect and its answer was lost. No other change writes the same record, see
/// job_state::change, so the first record answers for the whole change.
bool is_written(const store::kv_conflict& conflict, const store::kv_write& wanted) {
    return std::any_of(
        conflict.current.begin(), conflict.current.end(), [&](const store::kv_item& item) {
            return item.key == wanted.key && item.value == wanted.value && item.revision != 0;
        });
}

} // namespace

net::task<result<store::commit_outcome>> job_repository::commit_until(store::kv_transaction change,
                                                                      time_point deadline) {
    bool may_be_done = false;
    for (;;) {
        result<store::commit_outcome> outcome = co_await m_store.commit(change);
        if (outcome) {
            const auto* conflict = std::get_if<store::kv_conflict>(&outcome.value());
            if (conflict != nullptr && may_be_done && !change.writes.empty() &&
                is_written(*conflict, change.writes.front())) {
                for (const store::kv_item& item : conflict->current) {
                    if (item.key == change.writes.front().key) {
                        co_return store::commit_outcome(store::kv_committed{item.revision});
                    }
                }
            }
            co_return outcome;
        }
        may_be_done = may_be_done || outcome.error().run != run_state::not_run;
        if (m_clock() + repeat_pause >= deadline) {
            error failure = outcome.error();
            failure.run = may_be_done ? run_state::unknown : run_state::not_run;
            m_log.write(
                observe::event::commit_failed,
                change.writes.empty() ? "" : change.writes.front().key,
                {{"reason", failure.message}, {"run", std::string(to_string(failure.run))}});
            co_return failure;
        }
        co_await net::sleep_for(repeat_pause);
    }
}

void job_repository::add_record(store::kv_transaction& change, job_state& state,
                                std::uint64_t revision) {
    state.change = m_random.next();
    change.conditions.push_back({state_key(state.job), revision});
    change.writes.push_back({state_key(state.job), encode(state)});
}

net::task<result<change_outcome>> job_repository::create(job_state state,
                                                         std::vector<std::string> item_values,
                                                         time_point deadline,
                                                         std::uint64_t& revision) {
    store::kv_transaction change;
    add_record(change, state, 0);
    for (std::size_t part = 0; part < item_values.size(); ++part) {
        change.writes.push_back({items_key(state.job, part), std::move(item_values[part])});
    }
    result<store::commit_outcome> outcome = co_await commit_until(std::move(change), deadline);
    if (!outcome) {
        co_return outcome.error();
    }
    if (const auto* committed = std::get_if<store::kv_committed>(&outcome.value())) {
        revision = committed->revision;
        co_return change_outcome::done;
    }
    co_return change_outcome::lost_race;
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

net::task<result<std::vector<store::kv_item>>> job_repository::list_all(std::string prefix,
                                                                        store::consistency how) {
    std::vector<store::kv_item> all;
    std::string after;
    for (;;) {
        result<store::kv_page> page = co_await m_store.list(prefix, after, how);
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
    co_return join_values(values.value(), decode);
}

net::task<result<std::vector<serving::submitted_item>>>
job_repository::read_items(std::string job) {
    return read_entries(str_cat(items_prefix, job, "/"), decode_items);
}

net::task<result<std::vector<serving::item_result>>> job_repository::read_results(std::string job) {
    return read_entries(str_cat(results_prefix, job, "/"), decode_results);
}

net::task<result<std::vector<versioned_state>>> job_repository::read_all(store::consistency how) {
    const std::string prefix(state_prefix);
    const result<std::vector<store::kv_item>> values = co_await list_all(prefix, how);
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
        const std::uint64_t position = state.listed;
        state.listed += batch.results.size();
        add_record(change, state, batch.before.revision);
        change.writes.push_back({results_key(state.job, position), encode(batch.results)});
        next.push_back(std::move(state));
    }
    result<store::commit_outcome> outcome = co_await commit_until(std::move(change), deadline);
    if (!outcome) {
        co_return outcome.error();
    }
    const auto* committed = std::get_if<store::kv_committed>(&outcome.value());
    if (committed == nullptr) {
        co_return change_outcome::lost_race;
    }
    for (std::size_t i = 0; i < batches.size(); ++i) {
        batches[i].before = {std::move(next[i]), committed->revision};
    }
    co_return change_outcome::done;
}

net::task<result<change_outcome>> job_repository::replace(job_state next, std::uint64_t& revision,
                                                          time_point deadline) {
    store::kv_transaction change;
    add_record(change, next, revision);
    result<store::commit_outcome> outcome = co_await commit_until(std::move(change), deadline);
    if (!outcome) {
        co_return outcome.error();
    }
    if (const auto* committed = std::get_if<store::kv_committed>(&outcome.value())) {
        revision = committed->revision;
        co_return change_outcome::done;
    }
    co_return change_outcome::lost_race;
}

net::task<result<bool>> job_repository::end(std::string job, std::string customer,
                                            time_point deadline) {
    for (;;) {
        result<std::optional<versioned_state>> found = co_await read(job);
        if (!found) {
            co_return found.error();
        }
        if (!found.value() || found.value()->state.customer != customer) {
            co_return false;
        }
        if (found.value()->state.ended) {
            co_return true;
        }
        job_state next = found.value()->state;
        next.ended = true;
        store::kv_transaction change;
        add_record(change, next, found.value()->revision);
        change.writes.push_back({ended_key(job), "1"});
        result<store::commit_outcome> outcome = co_await commit_until(std::move(change), deadline);
        if (!outcome) {
            co_return outcome.error();
        }
        if (std::holds_alternative<store::kv_committed>(outcome.value())) {
            co_return true;
        }
        if (m_clock() >= deadline) {
            co_return error{error_code::unavailable, str_cat("job ", job, " changes too often")};
        }
    }
}

serving::result_page make_page(const job_state& state,
                               const std::vector<serving::item_result>& results,
                               std::uint64_t after) {
    serving::result_page page{state.items, after, {}};
    std::size_t bytes = 0;
    for (std::uint64_t i = after; i < results.size(); ++i) {
        if (!page.results.empty() && bytes + results[i].output.size() > max_page_bytes) {
            break;
        }
        bytes += results[i].output.size();
        page.results.push_back(results[i]);
        ++page.next;
    }
    return page;
}

} // namespace eelgrassdoor::jobs
