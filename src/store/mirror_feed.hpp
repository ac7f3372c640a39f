/// \file
/// Defines how a mirror is kept up to date from the key-value service.
#pragma once

#include "observe/decision_log.hpp"
#include "store/kv_store.hpp"
#include "store/mirror.hpp"

#include <map>
#include <string>

namespace eelgrassdoor::store {

/// Watches each prefix of a mirror; reads it anew when the store has dropped its history.
class mirror_feed {
public:
    mirror_feed(net::asio::any_io_executor executor, kv_store& store, mirror& target,
                clock_fn clock, observe::decision_log& log);

    void start();

    /// Since when the store answers without a gap; time_point::max() while it does not.
    [[nodiscard]] time_point connected_since() const { return m_connected_since; }
    /// How long it did not answer before that.
    [[nodiscard]] duration last_outage() const { return m_last_outage; }

private:
    net::task<> follow(std::string prefix);
    net::task<result<std::uint64_t>> read_all(const std::string& prefix);
    void note_answer(bool answered, std::string_view reason);

    net::asio::any_io_executor m_executor;
    kv_store& m_store;
    mirror& m_mirror;
    clock_fn m_clock;
    observe::decision_log& m_log;
    time_point m_last_answer{};
    time_point m_connected_since = time_point::max();
    duration m_last_outage{};
};

} // namespace eelgrassdoor::store
