#include "fleet/service_versions.hpp"

#include "base/text.hpp"
#include "fleet/stream_versions.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassdoor::fleet {

namespace {

/// Interval at which changes are looked for, and the pause after a failure.
constexpr duration sync_interval = milliseconds(500);
/// Limit of writes in one sync; each fails only because another daemon has written.
constexpr int max_writes = 4;

/// The versions that \p first and \p second have in common.
routing::versions_by_service common(const routing::versions_by_service& first,
                                    const routing::versions_by_service& second) {
    return routing::difference(first, routing::difference(first, second));
}

std::string describe(const routing::versions_by_service& versions) {
    std::string out;
    for (const auto& [service, each] : versions) {
        out += str_cat(out.empty() ? "" : " ", service, "=", str_join(each, ","));
    }
    return out;
}

} // namespace

std::string to_json(const routing::versions_by_service& versions) {
    return nlohmann::json(versions).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<routing::versions_by_service> versions_from_json(std::string_view text) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    try {
        return json.get<routing::versions_by_service>();
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

service_versions::service_versions(net::asio::any_io_executor executor, store::kv_store& store,
                                   clock_fn clock, observe::decision_log& log, bool first_start)
    : m_executor(executor), m_store(store), m_clock(std::move(clock)), m_log(log),
      m_first_start(first_start), m_complete_from(m_clock() + stream_versions::entry_lifetime),
      m_history(stream_versions::entry_lifetime), m_work(executor) {}

void service_versions::start() {
    net::asio::co_spawn(m_executor, run(), net::asio::detached);
}

void service_versions::set_targets(std::span<const routing::fleet_target> targets) {
    routing::versions_by_service listed = routing::versions_of(targets);
    m_history.set_listed(listed, m_clock());
    if (listed != m_listed) {
        m_listed = std::move(listed);
        m_published = common(m_published, m_listed);
        m_work.notify();
    }
}

net::task<std::optional<routing::version_set>> service_versions::candidates(std::string service) {
    if (!is_store_reachable()) {
        co_return std::nullopt;
    }
    const std::uint64_t number = request_sync();
    std::function<bool()> has_ended = [this, number] {
        return m_confirmed >= number || m_ended >= number;
    };
    co_await wait_until(std::move(has_ended));
    const time_point now = m_clock();
    if (m_confirmed < number || now < m_complete_from) {
        co_return std::nullopt;
    }
    routing::version_set out = m_history.recent(service, now);
    const auto stored = m_stored->find(service);
    if (stored != m_stored->end()) {
        out.insert(stored->second.begin(), stored->second.end());
    }
    co_return out;
}

net::task<bool> service_versions::publish(std::string service, std::string version) {
    if (routing::contains(m_published, service, version)) {
        co_return true;
    }
    m_claimed[service].insert(version);
    if (!is_store_reachable() || m_is_late) {
        co_return false;
    }
    const std::uint64_t number = request_sync();
    std::function<bool()> has_ended = [this, number] { return m_ended >= number; };
    co_await wait_until(std::move(has_ended));
    co_return is_stored(service, version) && m_ended >= number;
}

bool service_versions::is_stored(std::string_view service, std::string_view version) const {
    return m_stored && routing::contains(*m_stored, service, version);
}

std::uint64_t service_versions::request_sync() {
    m_work.notify();
    return ++m_requested;
}

net::task<> service_versions::wait_until(std::function<bool()> has_ended) {
    const time_point end = m_clock() + sync_timeout;
    const auto wake = std::make_shared<net::notification>(m_executor);
    m_waiting.push_back(wake);
    while (!has_ended() && m_clock() < end) {
        co_await wake->wait_until(end);
    }
    std::erase(m_waiting, wake);
    m_is_late = m_is_late || !has_ended();
}

void service_versions::wake_waiting() {
    for (const std::shared_ptr<net::notification>& each : m_waiting) {
        each->notify();
    }
}

net::task<> service_versions::run() {
    for (;;) {
        bool has_failed = false;
        if (must_sync()) {
            const std::uint64_t number = m_requested;
            const bool synced = co_await sync(number);
            has_failed = !synced;
            m_is_late = m_is_late && has_failed;
            m_ended = number;
            wake_waiting();
        }
        if (has_failed) {
            co_await net::sleep_for(sync_interval);
        } else if (m_requested == m_ended) {
            co_await m_work.wait_until(steady_clock()() + sync_interval);
        }
    }
}

bool service_versions::must_sync() const {
    if (!m_stored || m_requested > m_ended) {
        return true;
    }
    return desired() != *m_stored && is_store_reachable();
}

routing::versions_by_service service_versions::desired() const {
    routing::versions_by_service out = is_writer() ? m_history.recent(m_clock()) : *m_stored;
    for (const auto& [service, versions] : m_claimed) {
        out[service].insert(versions.begin(), versions.end());
    }
    return out;
}

net::task<bool> service_versions::sync(std::uint64_t number) {
    const bool has_read = co_await read();
    if (!has_read) {
        co_return false;
    }
    m_confirmed = number;
    wake_waiting();
    for (int writes = 0; desired() != *m_stored; ++writes) {
        if (writes == max_writes) {
            co_return false;
        }
        const bool is_confirmed = co_await confirm_deletions();
        if (!is_confirmed) {
            co_return false;
        }
        if (desired() == *m_stored) {
            break;
        }
        const bool has_answered = co_await write(desired());
        if (!has_answered) {
            co_return false;
        }
    }
    co_return true;
}

net::task<bool> service_versions::confirm_deletions() {
    if (routing::difference(*m_stored, desired()).empty()) {
        co_return true;
    }
    co_return co_await confirm_targets();
}

net::task<bool> service_versions::read() {
    const std::string key(service_versions_key);
    const result<std::optional<store::kv_item>> item =
        co_await m_store.get(key, store::consistency::linearizable);
    if (!item) {
        m_log.write(observe::event::service_versions_failed, key,
                    {{"reason", item.error().message}});
        co_return false;
    }
    adopt(item.value());
    co_return true;
}

void service_versions::adopt(const std::optional<store::kv_item>& item) {
    const std::uint64_t revision = item ? item->revision : 0;
    if (m_stored && revision == m_stored_revision) {
        set_stored(std::move(*m_stored), revision);
        return;
    }
    std::optional<routing::versions_by_service> versions;
    if (revision != 0) {
        versions = versions_from_json(item->value);
        if (!versions) {
            m_log.write(observe::event::entry_rejected, item->key,
                        {{"reason", "the versions of services are malformed"}});
        }
    }
    const time_point now = m_clock();
    if (!m_stored && (versions || m_first_start)) {
        m_complete_from = now;
    } else if (m_stored && !versions) {
        m_complete_from = now + m_history.memory();
    }
    routing::versions_by_service found = versions.value_or(routing::versions_by_service());
    // Those that were stored before are remembered by when their targets have gone.
    m_history.add_earlier(
        routing::difference(found, m_stored.value_or(routing::versions_by_service())), now);
    set_stored(std::move(found), revision);
    m_log.write(
        observe::event::service_versions_read, service_versions_key,
        {{"versions", describe(*m_stored)}, {"revision", std::to_string(m_stored_revision)}});
}

void service_versions::set_stored(routing::versions_by_service versions, std::uint64_t revision) {
    m_stored = std::move(versions);
    m_stored_revision = revision;
    m_synced_at = m_clock();
    m_published = common(*m_stored, m_listed);
    m_claimed = routing::difference(m_claimed, *m_stored);
}

net::task<bool> service_versions::write(routing::versions_by_service versions) {
    const std::string key(service_versions_key);
    store::kv_transaction change;
    change.conditions.push_back({key, m_stored_revision});
    change.writes.push_back({key, to_json(versions)});
    const result<store::commit_outcome> outcome = co_await m_store.commit(std::move(change));
    if (!outcome) {
        m_log.write(observe::event::service_versions_failed, key,
                    {{"reason", outcome.error().message}});
        co_return false;
    }
    if (const auto* committed = std::get_if<store::kv_committed>(&outcome.value())) {
        m_log.write(observe::event::service_versions_written, key,
                    {{"before", describe(*m_stored)}, {"now", describe(versions)}});
        set_stored(std::move(versions), committed->revision);
    } else if (const auto* conflict = std::get_if<store::kv_conflict>(&outcome.value())) {
        adopt(conflict->current.front());
    }
    co_return true;
}

} // namespace eelgrassdoor::fleet
