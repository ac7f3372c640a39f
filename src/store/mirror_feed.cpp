#include "store/mirror_feed.hpp"

#include "net/notification.hpp"

#include <algorithm>

namespace eelgrassdoor::store {

namespace {

/// How long one watch may wait. The store counts a waiting watch as one call, so a longer wait is
/// cheaper; a watch that has gone silent is found by the connection's keep-alive probes.
constexpr duration watch_wait = seconds(10);
/// First and longest pause after a call that failed.
constexpr duration first_pause = milliseconds(100);
constexpr duration longest_pause = milliseconds(800);

} // namespace

mirror_feed::mirror_feed(net::asio::any_io_executor executor, kv_store& store, mirror& target,
                         clock_fn clock, observe::decision_log& log)
    : m_executor(std::move(executor)), m_store(store), m_mirror(target), m_clock(std::move(clock)),
      m_log(log) {}

void mirror_feed::start() {
    for (const std::string& prefix : m_mirror.prefixes()) {
        net::asio::co_spawn(m_executor, follow(prefix), net::asio::detached);
    }
}

void mirror_feed::note_answer(bool answered, std::string_view reason) {
    const time_point now = m_clock();
    const duration silence = now - m_last_answer;
    if (answered) {
        m_last_answer = now;
    }
    const bool connected = m_connected_since != time_point::max();
    if (answered == connected) {
        return;
    }
    if (answered) {
        m_last_outage = silence;
    }
    m_connected_since = answered ? now : time_point::max();
    m_log.write(answered ? observe::event::platform_back : observe::event::platform_lost, "",
                {{"reason", std::string(reason)}});
}

net::task<result<std::uint64_t>> mirror_feed::read_all(const std::string& prefix) {
    mirror_snapshot snapshot{prefix, 0, {}};
    std::string after;
    for (;;) {
        result<kv_page> page = co_await m_store.list(prefix, after, consistency::linearizable);
        if (!page) {
            co_return page.error();
        }
        // Pages are read one after the other; only the first one's revision covers all of them.
        if (after.empty()) {
            snapshot.revision = page.value().store_revision;
        }
        for (kv_item& item : page.value().items) {
            snapshot.items.push_back(std::move(item));
        }
        if (!page.value().has_more || snapshot.items.empty()) {
            break;
        }
        after = snapshot.items.back().key;
    }
    m_mirror.apply_snapshot(snapshot);
    co_return snapshot.revision;
}

net::task<> mirror_feed::follow(std::string prefix) {
    duration pause = first_pause;
    bool must_read = true;
    std::uint64_t revision = 0;
    for (;;) {
        std::string failure;
        if (must_read) {
            const result<std::uint64_t> read = co_await read_all(prefix);
            if (read) {
                must_read = false;
                revision = read.value();
            } else {
                failure = read.error().message;
            }
        } else {
            const result<watch_outcome> seen = co_await m_store.watch(prefix, revision, watch_wait);
            if (!seen) {
                failure = seen.error().message;
            } else if (const auto* changes = std::get_if<kv_changes>(&seen.value())) {
                m_mirror.apply_changes(prefix, *changes);
                revision = std::max(revision, changes->store_revision);
            } else {
                must_read = true;
            }
        }
        note_answer(failure.empty(), failure);
        if (failure.empty()) {
            pause = first_pause;
            continue;
        }
        co_await net::sleep_for(pause);
        pause = std::min(2 * pause, longest_pause);
    }
}

} // namespace eelgrassdoor::store
