#include "stand_in/memory_store.hpp"

#include "net/notification.hpp"

#include <algorithm>

namespace eelgrassdoor::test {

namespace {

using namespace store;

error refusal() {
    return {error_code::unavailable, "call refused", run_state::not_run};
}

/// Interval at which waiting calls check whether they can return.
constexpr duration poll_interval = milliseconds(5);
/// How long a caller waits for a response, beyond the wait that it asked for.
constexpr duration response_timeout = milliseconds(1200);

} // namespace

net::task<error> memory_store::wait_in_vain(duration timeout) {
    net::notification step(m_executor);
    co_await step.wait_until(steady_clock()() + timeout);
    co_return error{error_code::deadline_exceeded, "no response", run_state::unknown};
}

net::task<> memory_store::apply_late(kv_transaction change) {
    net::notification step(m_executor);
    while (postpone(change)) {
        co_await step.wait_until(steady_clock()() + poll_interval);
    }
    (void)apply(change);
    --m_postponed_transactions;
}

void memory_store::erase(const std::string& key) {
    m_items.erase(key);
    m_history.push_back({{key, "", ++m_revision}, true});
}

void memory_store::end_leases() {
    for (const auto& [lease, keys] : m_leases) {
        for (const std::string& key : keys) {
            erase(key);
        }
    }
    m_leases.clear();
}

commit_outcome memory_store::apply(const kv_transaction& change) {
    kv_conflict conflict;
    bool holds = true;
    for (const kv_condition& each : change.conditions) {
        const auto found = m_items.find(each.key);
        const kv_item now = found == m_items.end() ? kv_item{each.key, "", 0} : found->second;
        holds = holds && now.revision == each.revision;
        conflict.current.push_back(now);
    }
    if (!holds) {
        return conflict;
    }
    for (const kv_write& each : change.writes) {
        if (each.lease != 0 && !m_leases.contains(each.lease)) {
            return kv_lease_ended{};
        }
    }
    ++m_revision;
    ++m_commits;
    for (const kv_write& each : change.writes) {
        m_items[each.key] = {each.key, each.value, m_revision};
        // A key belongs to the lease of its latest write only.
        for (auto& [lease, keys] : m_leases) {
            keys.erase(each.key);
        }
        if (each.lease != 0) {
            m_leases[each.lease].insert(each.key);
        }
    }
    for (const std::string& key : change.deletes) {
        m_items.erase(key);
        m_history.push_back({{key, "", m_revision}, true});
    }
    return kv_committed{m_revision};
}

kv_store memory_store::make_store() {
    kv_store out;
    out.get = [this](std::string key, consistency) -> kv_store::reply<std::optional<kv_item>> {
        if (refuse()) {
            co_return refusal();
        }
        const auto found = m_items.find(key);
        if (found == m_items.end()) {
            co_return std::optional<kv_item>();
        }
        co_return std::optional<kv_item>(found->second);
    };
    out.list = [this](std::string prefix, std::string after,
                      consistency) -> kv_store::reply<kv_page> {
        if (refuse()) {
            co_return refusal();
        }
        if (silent()) {
            const error failure = co_await wait_in_vain(response_timeout);
            co_return failure;
        }
        kv_page page;
        page.store_revision = m_revision;
        for (const auto& [key, item] : m_items) {
            if (key.starts_with(prefix) && key > after) {
                page.items.push_back(item);
            }
        }
        while (delay_list(prefix)) {
            net::notification step(m_executor);
            co_await step.wait_until(steady_clock()() + poll_interval);
        }
        co_return page;
    };
    out.watch = [this](std::string prefix, std::uint64_t revision,
                       duration wait) -> kv_store::reply<watch_outcome> {
        const time_point end = steady_clock()() + wait;
        for (;;) {
            if (refuse()) {
                co_return refusal();
            }
            if (silent()) {
                const error failure =
                    co_await wait_in_vain(end + response_timeout - steady_clock()());
                co_return failure;
            }
            kv_changes changes;
            changes.store_revision = m_revision;
            for (const auto& [key, item] : m_items) {
                if (key.starts_with(prefix) && item.revision > revision) {
                    changes.events.push_back({item, false});
                }
            }
            for (const kv_event& event : m_history) {
                if (event.item.key.starts_with(prefix) && event.item.revision > revision) {
                    changes.events.push_back(event);
                }
            }
            if (!changes.events.empty() || steady_clock()() >= end) {
                for (const kv_event& event : changes.events) {
                    ++m_reports[event.item.key];
                }
                co_return watch_outcome(changes);
            }
            net::notification step(m_executor);
            co_await step.wait_until(steady_clock()() + poll_interval);
        }
    };
    out.commit = [this](kv_transaction change) -> kv_store::reply<commit_outcome> {
        if (refuse() || refuse_commit(change)) {
            co_return refusal();
        }
        const std::size_t entries =
            change.conditions.size() + change.writes.size() + change.deletes.size();
        if (entries > max_transaction_entries) {
            co_return error{error_code::unavailable, "the transaction has too many entries",
                            run_state::not_run};
        }
        const bool is_too_long =
            std::any_of(change.writes.begin(), change.writes.end(), [this](const kv_write& each) {
                return each.value.size() > max_value_bytes;
            });
        if (is_too_long) {
            co_return error{error_code::invalid_request, "a value is too long", run_state::not_run};
        }
        if (postpone(change)) {
            ++m_postponed_transactions;
            net::asio::co_spawn(m_executor, apply_late(change), net::asio::detached);
            const error failure = co_await wait_in_vain(response_timeout);
            co_return failure;
        }
        const commit_outcome outcome = apply(change);
        while (delay_response(change)) {
            net::notification step(m_executor);
            co_await step.wait_until(steady_clock()() + poll_interval);
        }
        if (lose_response(change)) {
            co_return error{error_code::unavailable, "response lost", run_state::unknown};
        }
        co_return outcome;
    };
    out.grant_lease = [this](duration ttl) -> kv_store::reply<kv_lease> {
        if (refuse()) {
            co_return refusal();
        }
        m_leases[m_next_lease];
        co_return kv_lease{m_next_lease++, ttl};
    };
    out.renew_lease = [this](std::uint64_t lease) -> kv_store::reply<bool> {
        if (refuse()) {
            co_return refusal();
        }
        if (silent()) {
            ++m_silent_renewals;
            const error failure = co_await wait_in_vain(response_timeout);
            co_return failure;
        }
        co_return m_leases.contains(lease);
    };
    out.end_lease = [this](std::uint64_t lease) -> kv_store::reply<bool> {
        if (refuse()) {
            co_return refusal();
        }
        for (const std::string& key : m_leases[lease]) {
            erase(key);
        }
        co_return m_leases.erase(lease) > 0;
    };
    return out;
}

} // namespace eelgrassdoor::test
