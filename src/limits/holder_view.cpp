#include "limits/holder_view.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::limits {

namespace {

/// A holder in this daemon's zone is preferred while its bucket is filled to at least this
/// fraction. Otherwise the holder with the fullest bucket is asked, so that no bucket overflows
/// while another is empty.
constexpr double same_zone_min_fill = 0.5;
/// Smallest balance, in tokens, for which a holder is asked for a fraction. Also the tolerance for
/// floating-point errors in sums of balances.
constexpr double min_useful_amount = 1e-6;
/// A customer counts as near its limit while its buckets hold less than this fraction of its burst
/// in sum, and for near_limit_duration after.
constexpr double near_limit_fraction = 0.75;
constexpr duration near_limit_duration = seconds(30);

} // namespace

void holder_view::set_holders(std::vector<holder> holders) {
    for (const holder& old : m_holders) {
        if (std::ranges::find(holders, old.key(), &holder::key) == holders.end()) {
            m_balances.erase(old.key());
            m_unresponsive_until.erase(old.key());
        }
    }
    m_holders = std::move(holders);
}

bool holder_view::is_unresponsive(const holder& lender, time_point now) const {
    const auto found = m_unresponsive_until.find(lender.key());
    return found != m_unresponsive_until.end() && now < found->second;
}

double holder_view::estimate(const holder& lender, std::string_view customer, bucket_params params,
                             time_point now) const {
    const auto by_host = m_balances.find(lender.key());
    if (by_host == m_balances.end()) {
        return params.capacity;
    }
    const auto found = by_host->second.find(customer);
    if (found == by_host->second.end()) {
        return params.capacity;
    }
    const double filled = params.rate_per_second * to_seconds(now - found->second.sampled_at);
    return std::min(params.capacity, found->second.balance + filled);
}

acquire_plan holder_view::plan(std::string_view customer, bucket_params params, time_point now) {
    const holder* best = nullptr;
    double best_score = -1;
    double sum = 0;
    double total_rate = 0;
    for (const holder& h : m_holders) {
        if (is_unresponsive(h, now)) {
            continue;
        }
        const double tokens = estimate(h, customer, params, now);
        const bool preferred = h.same_zone && tokens >= same_zone_min_fill * params.capacity;
        const double score = tokens + (preferred ? params.capacity : 0);
        if (score > best_score) {
            best = &h;
            best_score = score;
        }
        sum += tokens;
        total_rate += params.rate_per_second;
    }
    const double capacity = params.capacity * static_cast<double>(m_holders.size());
    if (sum < near_limit_fraction * capacity) {
        m_near_limit_until.insert_or_assign(std::string(customer), now + near_limit_duration);
    }
    const auto near_limit = m_near_limit_until.find(customer);
    acquire_plan out;
    out.preferred_holder = best == nullptr ? std::nullopt : std::optional(*best);
    out.use_fractions = near_limit != m_near_limit_until.end() && now < near_limit->second;
    out.token_possible = sum + min_useful_amount >= 1;
    out.time_to_next_token =
        total_rate > 0 ? from_seconds(std::max(0.0, 1 - sum) / total_rate) : seconds(60);
    return out;
}

std::vector<fraction_request> holder_view::fraction_requests(std::string_view customer,
                                                             bucket_params params, double need,
                                                             time_point now) const {
    std::vector<fraction_request> out;
    double sum = 0;
    for (const holder& h : m_holders) {
        const double tokens = is_unresponsive(h, now) ? 0 : estimate(h, customer, params, now);
        if (tokens > min_useful_amount) {
            out.push_back({h, tokens});
            sum += tokens;
        }
    }
    if (sum + min_useful_amount < need) {
        return {};
    }
    for (fraction_request& request : out) {
        request.want = std::min(need, need * request.want / sum);
    }
    return out;
}

void holder_view::record_balance(const holder& lender, std::string_view customer, double balance,
                                 time_point now) {
    auto& by_customer = m_balances.try_emplace(lender.key()).first->second;
    by_customer.insert_or_assign(std::string(customer), balance_sample{balance, now});
    m_unresponsive_until.erase(lender.key());
}

void holder_view::mark_unresponsive(const holder& lender, time_point now) {
    m_unresponsive_until.insert_or_assign(lender.key(), now + unresponsive_retry_interval);
}

} // namespace eelgrassdoor::limits
