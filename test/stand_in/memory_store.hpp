/// \file
/// Defines a key-value store in memory, for tests: it can lose answers and refuse.
#pragma once

#include "store/kv_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace eelgrassdoor::test {

/// Behaves as the key-value interface says. Everything happens at once on the caller's loop.
class memory_store {
public:
    explicit memory_store(net::asio::any_io_executor executor) : m_executor(std::move(executor)) {}

    store::kv_store make_store();

    /// Decides for each change whether it is made although its answer is lost.
    std::function<bool(const store::kv_transaction&)> lose_answer = [](const auto&) {
        return false;
    };
    /// Decides for each change whether it is refused.
    std::function<bool(const store::kv_transaction&)> refuse_commit = [](const auto&) {
        return false;
    };
    /// Whether the answer to a change that was made is held back for now.
    std::function<bool(const store::kv_transaction&)> hold_answer = [](const auto&) {
        return false;
    };
    /// Decides for each call whether it is refused.
    std::function<bool()> refuse = [] { return false; };

    void put(const std::string& key, const std::string& value) {
        m_items[key] = {key, value, ++m_revision};
    }
    void erase(const std::string& key);
    /// Ends all leases, as when their holders could not renew them.
    void end_leases();
    [[nodiscard]] const std::map<std::string, store::kv_item>& items() const { return m_items; }
    [[nodiscard]] std::uint64_t commits() const { return m_commits; }

private:
    store::commit_outcome apply(const store::kv_transaction& change);

    net::asio::any_io_executor m_executor;
    std::map<std::string, store::kv_item> m_items;
    std::vector<store::kv_event> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_commits = 0;
    std::uint64_t m_next_lease = 1;
    std::map<std::uint64_t, std::set<std::string>> m_leases;
};

} // namespace eelgrassdoor::test
