#include "fleet/registration.hpp"

#include "base/text.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

namespace {

/// Number of consecutive renewals without the registration in the mirror, after which it counts as
/// overwritten and is created again. More than one, since the mirror lags behind the store.
constexpr int max_unmirrored_renewals = 3;

} // namespace

registration::registration(net::asio::any_io_executor executor, store::kv_store& store,
                           const store::mirror& mirrors, registration_options options,
                           clock_fn clock, clock_fn lease_clock, observe::decision_log& log)
    : m_executor(std::move(executor)), m_store(store), m_mirror(mirrors),
      m_options(std::move(options)), m_clock(std::move(clock)),
      m_lease_clock(std::move(lease_clock)), m_log(log), m_wake(m_executor) {}

void registration::start() {
    net::asio::co_spawn(m_executor, run(), net::asio::detached);
}

bool registration::is_in_mirror() const {
    const store::kv_item* item = m_mirror.find(member_key(m_options.self.host));
    return item != nullptr && item->value == to_json(m_options.self);
}

net::task<bool> registration::create_registration() {
    const time_point requested_at = m_lease_clock();
    const result<store::kv_lease> lease = co_await m_store.grant_lease(m_options.ttl);
    if (!lease) {
        co_return false;
    }
    store::kv_transaction change;
    change.writes.push_back(
        {member_key(m_options.self.host), to_json(m_options.self), lease.value().id});
    const result<store::commit_outcome> written = co_await m_store.commit(std::move(change));
    if (!written || !std::holds_alternative<store::kv_committed>(written.value())) {
        co_return false;
    }
    m_lease = lease.value().id;
    ++m_generation;
    m_valid_until = requested_at + lease.value().ttl;
    m_unmirrored_renewals = 0;
    co_return true;
}

net::task<bool> registration::renew() {
    const time_point requested_at = m_lease_clock();
    const result<bool> renewed = co_await m_store.renew_lease(m_lease);
    on_store_call(renewed.has_value(), renewed ? "" : "the lease could not be renewed");
    if (!renewed) {
        co_return false;
    }
    if (!renewed.value()) {
        m_log.write(observe::event::limit_authority_lapsed, m_options.self.host,
                    {{"reason", "the lease has ended"}});
        m_lease = 0;
        m_valid_until = {};
        co_return false;
    }
    m_valid_until = requested_at + m_options.ttl;
    // A delayed write of an earlier run on this host may have overwritten the registration.
    m_unmirrored_renewals = is_in_mirror() ? 0 : m_unmirrored_renewals + 1;
    if (m_unmirrored_renewals >= max_unmirrored_renewals) {
        m_lease = 0;
    }
    co_return true;
}

net::task<> registration::run() {
    duration retry_delay = m_options.initial_retry_delay;
    while (!m_ended) {
        bool succeeded = false;
        if (m_lease == 0) {
            succeeded = co_await create_registration();
        } else {
            succeeded = co_await renew();
        }
        const bool is_registered = succeeded && m_lease != 0;
        const duration wait = is_registered ? m_options.renew_interval : retry_delay;
        retry_delay = is_registered ? m_options.initial_retry_delay
                                    : std::min(2 * retry_delay, m_options.max_retry_delay);
        co_await m_wake.wait_until(m_clock() + wait);
    }
}

net::task<> registration::end() {
    m_ended = true;
    m_wake.notify();
    m_valid_until = {};
    if (m_lease != 0) {
        const result<bool> ended = co_await m_store.end_lease(m_lease);
        if (!ended) {
            m_log.write(observe::event::commit_failed, m_options.self.host,
                        {{"reason", ended.error().message}});
        }
    }
}

} // namespace eelgrassdoor::fleet
