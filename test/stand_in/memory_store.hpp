/// \file
/// Defines an in-memory key-value store for tests that can refuse calls and lose responses.
#pragma once

#include "store/kv_store.hpp"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>

namespace eelgrassdoor::test {

/// Implements store::kv_store without limits on page size; leases never expire unless
/// end_leases() is called. Calls take effect immediately, on the caller's executor. Not
/// thread-safe.
class memory_store {
public:
    explicit memory_store(net::asio::any_io_executor executor) : m_executor(std::move(executor)) {}

    /// Returns an interface to this object, which must outlive it.
    store::kv_store make_store();

    /// Whether a transaction takes effect but its response is lost.
    std::function<bool(const store::kv_transaction&)> lose_response = [](const auto&) {
        return false;
    };
    /// Whether a transaction is refused without effect.
    std::function<bool(const store::kv_transaction&)> refuse_commit = [](const auto&) {
        return false;
    };
    /// Whether the response to a transaction that took effect is delayed; polled until false.
    std::function<bool(const store::kv_transaction&)> delay_response = [](const auto&) {
        return false;
    };
    /// Whether the response to a read of all keys with a prefix is delayed; polled until false.
    std::function<bool(const std::string& prefix)> delay_list = [](const auto&) { return false; };
    /// Whether a call of any kind is refused without effect.
    std::function<bool()> refuse = [] { return false; };
    /// Whether a transaction gets no response and is executed later, if its conditions hold then;
    /// polled until false.
    std::function<bool(const store::kv_transaction&)> postpone = [](const auto&) { return false; };
    /// Number of postponed transactions that have not been decided yet.
    [[nodiscard]] int postponed_transactions() const { return m_postponed_transactions; }
    /// Transactions with a longer value are refused for good.
    std::size_t max_value_bytes = std::numeric_limits<std::size_t>::max();

    /// Whether the store is silent: reads, watches and renewals that are made or wait meanwhile get
    /// no response, also not afterwards, and fail when their callers' timeouts have passed.
    std::function<bool()> silent = [] { return false; };
    /// Number of renewals that met the silent store.
    [[nodiscard]] std::uint64_t silent_renewals() const { return m_silent_renewals; }

    /// Sets a key at a new revision, without a lease.
    void put(const std::string& key, const std::string& value) {
        m_items[key] = {key, value, ++m_revision};
    }
    /// Deletes a key at a new revision.
    void erase(const std::string& key);
    /// Ends all leases and deletes their keys, as if no holder had renewed them.
    void end_leases();
    [[nodiscard]] const std::map<std::string, store::kv_item>& items() const { return m_items; }
    /// Number of watches that have reported a change of \p key.
    [[nodiscard]] int reports_of(const std::string& key) const {
        const auto found = m_reports.find(key);
        return found == m_reports.end() ? 0 : found->second;
    }
    /// Number of transactions that took effect.
    [[nodiscard]] std::uint64_t commits() const { return m_commits; }

private:
    /// Executes a transaction if its conditions hold and its leases exist.
    store::commit_outcome apply(const store::kv_transaction& change);

    /// Executes a transaction once it is no longer postponed.
    net::task<> apply_late(store::kv_transaction change);
    /// Fails after \p timeout, as a call does whose response never comes.
    net::task<error> wait_in_vain(duration timeout);

    net::asio::any_io_executor m_executor;
    std::uint64_t m_silent_renewals = 0;
    int m_postponed_transactions = 0;
    std::map<std::string, store::kv_item> m_items;
    std::vector<store::kv_event> m_history;
    std::map<std::string, int> m_reports;
    std::uint64_t m_revision = 1;
    std::uint64_t m_commits = 0;
    std::uint64_t m_next_lease = 1;
    std::map<std::uint64_t, std::set<std::string>> m_leases;
};

} // namespace eelgrassdoor::test
