#include "fleet/service_versions.hpp"

#include "base/text.hpp"
#include "fleet/stream_versions.hpp"
#include "net/notification.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassdoor::fleet {

namespace {

/// Interval at which changes are written, and the versions are read again after a failure.
constexpr duration sync_interval = milliseconds(500);

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
    : m_executor(std::move(executor)), m_store(store), m_clock(std::move(clock)), m_log(log),
      m_first_start(first_start), m_started_at(m_clock()),
      m_history(stream_versions::entry_lifetime) {}

void service_versions::start() {
    net::asio::co_spawn(m_executor, run(), net::asio::detached);
}

void service_versions::set_targets(std::span<const routing::fleet_target> targets) {
    m_history.set_listed(routing::versions_of(targets), m_clock());
}

std::optional<routing::version_set> service_versions::candidates(std::string_view service) const {
    const time_point now = m_clock();
    if (!m_knows_earlier && now - m_started_at < m_history.memory()) {
        return std::nullopt;
    }
    return m_history.recent(service, now);
}

net::task<> service_versions::run() {
    for (;;) {
        if (!m_stored) {
            co_await read();
        } else if (is_writer()) {
            routing::versions_by_service current = m_history.recent(m_clock());
            if (current != *m_stored) {
                co_await write(std::move(current));
            }
        }
        co_await net::sleep_for(sync_interval);
    }
}

net::task<> service_versions::read() {
    const std::string key(service_versions_key);
    const result<std::optional<store::kv_item>> item =
        co_await m_store.get(key, store::consistency::linearizable);
    if (!item) {
        m_log.write(observe::event::service_versions_failed, key,
                    {{"reason", item.error().message}});
        co_return;
    }
    m_knows_earlier = adopt(item.value()) || m_first_start;
}

bool service_versions::adopt(const std::optional<store::kv_item>& item) {
    std::optional<routing::versions_by_service> versions;
    if (item && item->revision != 0) {
        versions = versions_from_json(item->value);
        if (!versions) {
            m_log.write(observe::event::entry_rejected, item->key,
                        {{"reason", "the versions of services are malformed"}});
        }
    }
    m_stored = versions.value_or(routing::versions_by_service());
    m_stored_revision = item ? item->revision : 0;
    m_synced_at = m_clock();
    m_history.add_earlier(*m_stored, m_clock());
    m_log.write(
        observe::event::service_versions_read, service_versions_key,
        {{"versions", describe(*m_stored)}, {"revision", std::to_string(m_stored_revision)}});
    return versions.has_value();
}

net::task<> service_versions::write(routing::versions_by_service versions) {
    const std::string key(service_versions_key);
    store::kv_transaction change;
    change.conditions.push_back({key, m_stored_revision});
    change.writes.push_back({key, to_json(versions)});
    const result<store::commit_outcome> outcome = co_await m_store.commit(std::move(change));
    if (!outcome) {
        m_log.write(observe::event::service_versions_failed, key,
                    {{"reason", outcome.error().message}});
        co_return;
    }
    if (const auto* committed = std::get_if<store::kv_committed>(&outcome.value())) {
        m_log.write(observe::event::service_versions_written, key,
                    {{"before", describe(*m_stored)}, {"now", describe(versions)}});
        m_stored = std::move(versions);
        m_stored_revision = committed->revision;
        m_synced_at = m_clock();
    } else if (const auto* conflict = std::get_if<store::kv_conflict>(&outcome.value())) {
        (void)adopt(conflict->current.front());
    }
}

} // namespace eelgrassdoor::fleet
