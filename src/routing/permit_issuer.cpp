#include "routing/permit_issuer.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

namespace {

/// The limit of a target that names less than this: requests must reach it now and then, as only
/// responses show that its limit has ended.
constexpr double min_rate = 0.25;
/// The time in which an idle bucket fills, and its least size in requests: short, because the limit
/// bounds any span of seconds.
constexpr double fill_time_s = 1;
constexpr double min_burst = 2;
/// The part of a bucket that batch work leaves to online requests.
constexpr double batch_reserve = 0.5;
/// Bounds of the time after which a daemon asks again.
constexpr double min_wait_s = 0.02;
constexpr double max_wait_s = 1;
/// Absorbs the rounding of sums of fractions of a permit.
constexpr double balance_tolerance = 1e-9;
/// Several times the 870 targets of the design size.
constexpr std::size_t max_buckets = 4096;

limits::bucket_params bucket_of(double limit, double part) {
    const double rate = std::max(limit, min_rate);
    const double burst = std::max(rate * fill_time_s, min_burst);
    // A smaller bucket would never hold a whole permit.
    return {part * rate, std::max(1.0, part * burst)};
}

} // namespace

void permit_issuer::set_daemons(std::vector<issuing_daemon> daemons, std::string_view own_host,
                                time_point now) {
    if (daemons == m_daemons && own_host == m_own_host) {
        return;
    }
    m_daemons = std::move(daemons);
    m_own_host = own_host;
    m_changed_at = now;
    std::erase_if(m_buckets, [&](const auto& entry) {
        return !is_own(assignment_of(entry.first, entry.second.availability_zone));
    });
}

void permit_issuer::reset(time_point now) {
    m_buckets.clear();
    m_changed_at = now;
}

permit_issuer::assignment permit_issuer::assignment_of(std::string_view id,
                                                       std::string_view zone) const {
    struct group {
        const issuing_daemon* best = nullptr;
        std::uint64_t best_weight = 0;
        int heard = 0;
        int all = 0;
    };
    group near;
    group far;
    const std::uint64_t key = stable_hash(id);
    for (const issuing_daemon& each : m_daemons) {
        group& own = each.availability_zone == zone ? near : far;
        ++own.all;
        if (!each.is_heard) {
            continue;
        }
        ++own.heard;
        const std::uint64_t weight = rendezvous_weight(key, each.host);
        if (own.best == nullptr || weight > own.best_weight) {
            own.best = &each;
            own.best_weight = weight;
        }
    }
    const group& used = near.best != nullptr ? near : far;
    if (used.best == nullptr) {
        return {};
    }
    const double heard_part = static_cast<double>(used.heard) / used.all;
    return {used.best,
            near.all > 0 && near.best == nullptr ? substitute_part * heard_part : heard_part};
}

std::string_view permit_issuer::issuer_of(const limited_target& target) const {
    const assignment assigned = assignment_of(target.id, target.availability_zone);
    return assigned.issuer == nullptr ? std::string_view() : assigned.issuer->host;
}

permit_issuer::verdict permit_issuer::take(const limited_target& target, work_kind kind,
                                           time_point now) {
    const assignment assigned = assignment_of(target.id, target.availability_zone);
    if (!is_own(assigned)) {
        return {.wait = from_seconds(max_wait_s)};
    }
    const limits::bucket_params params = bucket_of(target.requests_per_second, assigned.part);
    auto found = m_buckets.find(target.id);
    if (found == m_buckets.end()) {
        if (m_buckets.size() >= max_buckets) {
            m_buckets.clear();
        }
        const time_point fills_from = std::max(now, m_changed_at + growth_delay);
        found = m_buckets
                    .emplace(std::string(target.id),
                             bucket_state{std::string(target.availability_zone),
                                          limits::token_bucket(params, 0, fills_from)})
                    .first;
    }
    limits::token_bucket& bucket = found->second.bucket;
    bucket.set_params(params, now);
    const double reserve = kind == work_kind::batch ? batch_reserve * params.capacity : 0;
    const double needed = std::min(1 + reserve, params.capacity);
    const double balance = bucket.balance(now);
    if (balance + balance_tolerance >= needed && bucket.take(1, true, now) > 0) {
        return {.granted = true};
    }
    const double wait_s = (needed - balance) / params.rate_per_second;
    return {.wait = from_seconds(std::clamp(wait_s, min_wait_s, max_wait_s))};
}

} // namespace eelgrassdoor::routing
