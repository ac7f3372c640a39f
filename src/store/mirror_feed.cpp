#include "store/mirror_feed.hpp"

#include <algorithm>

namespace eelgrassdoor::store {

namespace {

/// Maximum wait of a watch after a failed call.
constexpr duration probe_wait = milliseconds(50);
/// Wait of the watch that refreshes a replica: changes that are there are returned at once.
constexpr duration refresh_wait = milliseconds(1);
/// Interval at which a daemon that does not watch checks whether it has to.
constexpr duration watch_check_interval = milliseconds(300);
/// Interval at which a daemon that does not watch polls a prefix. In between, the digests of other
/// daemons name the revisions that they have, so a daemon that receives digests misses no change.
constexpr duration poll_interval = seconds(30);
/// Initial and maximum delay after a failed call; the delay doubles in between.
constexpr duration initial_retry_delay = milliseconds(100);
constexpr duration max_retry_delay = milliseconds(800);

} // namespace

mirror_feed::mirror_feed(net::asio::any_io_executor executor, kv_store& store, mirror& mirrored,
                         clock_fn clock, observe::decision_log& log)
    : m_executor(std::move(executor)), m_store(store), m_mirror(mirrored),
      m_clock(std::move(clock)), m_log(log) {}

void mirror_feed::start() {
    for (const std::string& prefix : m_mirror.prefixes()) {
        net::asio::co_spawn(m_executor, follow(prefix), net::asio::detached);
    }
}

void mirror_feed::update_connectivity(bool responded, std::string_view reason) {
    const time_point now = m_clock();
    const duration time_since_response = now - m_last_response_at;
    if (responded) {
        m_last_response_at = now;
    }
    const bool connected = m_connected_since != time_point::max();
    if (responded == connected) {
        return;
    }
    m_connected_since = responded ? now : time_point::max();
    if (responded) {
        m_last_outage = time_since_response;
        abandon_watches();
    }
    m_log.write(responded ? observe::event::platform_back : observe::event::platform_lost, "",
                {{"reason", std::string(reason)}});
}

net::task<result<std::uint64_t>> mirror_feed::read_all(std::string prefix,
                                                       consistency read_consistency) {
    mirror_snapshot snapshot{prefix, 0, {}};
    std::string after;
    for (;;) {
        result<kv_page> page = co_await m_store.list(prefix, after, read_consistency);
        if (!page) {
            co_return page.error();
        }
        // Pages are read in sequence, so only the revision of the first one holds for all of them.
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

feed_options mirror_feed::options_of(const std::string& prefix) const {
    const auto found = m_options.find(prefix);
    return found == m_options.end() ? feed_options() : found->second;
}

feed_status mirror_feed::status(std::string_view prefix) const {
    const auto found = m_status.find(prefix);
    return found == m_status.end() ? feed_status() : found->second;
}

void mirror_feed::end_call(const std::string& prefix, const call_outcome& outcome) {
    feed_status& status = m_status[prefix];
    status.waiting_since = time_point::max();
    if (!outcome) {
        return;
    }
    if (outcome->empty()) {
        status.confirmed_at = m_clock();
    }
    update_connectivity(outcome->empty(), *outcome);
}

void mirror_feed::abandon_watches() {
    for (const auto& [prefix, pending] : m_pending) {
        pending->ended.notify();
    }
}

net::task<mirror_feed::call_outcome> mirror_feed::read_or_watch(const std::string& prefix,
                                                                feed_position& position) {
    return position.must_read ? read_prefix(prefix, position) : watch_prefix(prefix, position);
}

net::task<mirror_feed::call_outcome> mirror_feed::read_prefix(const std::string& prefix,
                                                              feed_position& position) {
    // At startup a cheap stale read misses nothing: a watch continues from its revision, and
    // daemons that do not watch learn of newer revisions from digests.
    const consistency read_consistency =
        position.revision == 0 ? consistency::stale : consistency::linearizable;
    const result<std::uint64_t> read = co_await read_all(prefix, read_consistency);
    if (!read) {
        co_return read.error().message;
    }
    position.must_read = false;
    position.revision = read.value();
    co_return std::string();
}

net::task<> mirror_feed::run_watch(std::shared_ptr<pending_watch> pending, std::string prefix,
                                   std::uint64_t revision, duration wait) {
    result<watch_outcome> outcome = co_await m_store.watch(std::move(prefix), revision, wait);
    pending->outcome = std::move(outcome);
    pending->ended.notify();
}

net::task<mirror_feed::call_outcome> mirror_feed::watch_prefix(const std::string& prefix,
                                                               feed_position& position) {
    const duration wait = position.after_failure ? probe_wait : options_of(prefix).watch_wait;
    const auto pending = std::make_shared<pending_watch>(m_executor);
    m_pending[prefix] = pending;
    net::asio::co_spawn(m_executor, run_watch(pending, prefix, position.revision, wait),
                        net::asio::detached);
    co_await pending->ended.wait_until(time_point::max());
    m_pending.erase(prefix);
    if (!pending->outcome) {
        co_return std::nullopt;
    }
    const result<watch_outcome>& outcome = *pending->outcome;
    if (!outcome) {
        co_return outcome.error().message;
    }
    const auto* changes = std::get_if<kv_changes>(&outcome.value());
    position.must_read = changes == nullptr;
    if (changes != nullptr) {
        m_mirror.apply_changes(prefix, *changes);
        position.revision = std::max(position.revision, changes->store_revision);
    }
    co_return std::string();
}

net::task<mirror_feed::call_outcome> mirror_feed::poll_prefix(const std::string& prefix) {
    const time_point until = m_clock() + poll_interval;
    while (!must_watch() && m_clock() < until) {
        co_await net::sleep_for(watch_check_interval);
    }
    if (must_watch()) {
        co_return std::nullopt;
    }
    // A stale read may be older than what other daemons sent; the mirror ignores older revisions.
    const result<std::uint64_t> read = co_await read_all(prefix, consistency::stale);
    co_return read ? std::string() : read.error().message;
}

net::task<bool> mirror_feed::refresh(std::string prefix) {
    const result<watch_outcome> outcome =
        co_await m_store.watch(prefix, m_mirror.revision(prefix), refresh_wait);
    std::string failure = outcome ? std::string() : outcome.error().message;
    if (outcome) {
        const auto* changes = std::get_if<kv_changes>(&outcome.value());
        if (changes != nullptr) {
            m_mirror.apply_changes(prefix, *changes);
        } else {
            const result<std::uint64_t> read = co_await read_all(prefix, consistency::linearizable);
            failure = read ? std::string() : read.error().message;
        }
    }
    update_connectivity(failure.empty(), failure);
    co_return failure.empty();
}

net::task<> mirror_feed::follow(std::string prefix) {
    duration retry_delay = initial_retry_delay;
    feed_position position;
    for (;;) {
        const feed_options options = options_of(prefix);
        // While a prefix is empty, other daemons have no revision of it to announce.
        const bool watches = position.must_read || options.always_watched || must_watch() ||
                             m_mirror.items(prefix).empty();
        call_outcome outcome;
        if (watches) {
            begin_call(prefix);
            outcome = co_await read_or_watch(prefix, position);
        } else {
            outcome = co_await poll_prefix(prefix);
            // The changes since the last watch were not received in order.
            position.must_read = must_watch();
        }
        end_call(prefix, outcome);
        position.after_failure = outcome && !outcome->empty();
        if (!position.after_failure) {
            retry_delay = initial_retry_delay;
            if (options.coalescing_delay > duration::zero()) {
                co_await net::sleep_for(options.coalescing_delay);
            }
            continue;
        }
        co_await net::sleep_for(retry_delay);
        retry_delay = std::min(2 * retry_delay, max_retry_delay);
    }
}

} // namespace eelgrassdoor::store
