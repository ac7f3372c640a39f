#include "limits/holder_view.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::limits {

namespace {

/// A part of the own zone is asked first while it is at least this full. Below, the fullest part
/// of all is asked, so that no part overflows while another is empty.
constexpr double local_preference = 0.5;
constexpr double smallest_useful = 1e-6;
/// A customer is near its limit while its parts together have less than this part of its burst,
/// and for a time after.
constexpr double near_limit_share = 0.75;
constexpr duration near_limit_time = seconds(30);

} // namespace

void holder_view::set_holders(std::vector<holder> holders) {
    for (const holder& old : m_holders) {
        if (std::ranges::find(holders, old.key(), &holder::key) == holders.end()) {
            m_seen.erase(old.key());
            m_silent_until.erase(old.key());
        }
    }
    m_holders = std::move(holders);
}

bool holder_view::silent(const holder& who, time_point now) const {
    const auto found = m_silent_until.find(who.key());
    return found != m_silent_until.end() && now < found->second;
}

double holder_view::estimate(const holder& who, std::string_view customer, bucket_params params,
                             time_point now) const {
    const auto by_host = m_seen.find(who.key());
    if (by_host == m_seen.end()) {
        return params.capacity;
    }
    const auto found = by_host->second.find(customer);
    if (found == by_host->second.end()) {
        return params.capacity;
    }
    const double filled = params.rate_per_second * to_seconds(now - found->second.seen_at);
    return std::min(params.capacity, found->second.balance + filled);
}

acquire_plan holder_view::plan(std::string_view customer, bucket_params params, time_point now) {
    const holder* best = nullptr;
    double best_score = -1;
    double sum = 0;
    double fill = 0;
    for (const holder& h : m_holders) {
        if (silent(h, now)) {
            continue;
        }
        const double tokens = estimate(h, customer, params, now);
        const bool preferred = h.same_zone && tokens >= local_preference * params.capacity;
        const double score = tokens + (preferred ? params.capacity : 0);
        if (score > best_score) {
            best = &h;
            best_score = score;
        }
        sum += tokens;
        fill += params.rate_per_second;
    }
    const double capacity = params.capacity * static_cast<double>(m_holders.size());
    if (sum < near_limit_share * capacity) {
        m_near_limit_until.insert_or_assign(std::string(customer), now + near_limit_time);
    }
    const auto near = m_near_limit_until.find(customer);
    acquire_plan out;
    out.first = best == nullptr ? std::nullopt : std::optional(*best);
    out.spread = near != m_near_limit_until.end() && now < near->second;
    out.may_have_token = sum + smallest_useful >= 1;
    out.next_token = fill > 0 ? from_seconds(std::max(0.0, 1 - sum) / fill) : seconds(60);
    return out;
}

std::vector<fraction_request> holder_view::wishes(std::string_view customer, bucket_params params,
                                                  double need, time_point now) const {
    std::vector<fraction_request> out;
    double sum = 0;
    for (const holder& h : m_holders) {
        const double tokens = silent(h, now) ? 0 : estimate(h, customer, params, now);
        if (tokens > smallest_useful) {
            out.push_back({h, tokens});
            sum += tokens;
        }
    }
    if (sum + smallest_useful < need) {
        return {};
    }
    for (fraction_request& w : out) {
        w.want = std::min(need, need * w.want / sum);
    }
    return out;
}

void holder_view::note_balance(const holder& who, std::string_view customer, double balance,
                               time_point now) {
    auto& by_customer = m_seen.try_emplace(who.key()).first->second;
    by_customer.insert_or_assign(std::string(customer), sighting{balance, now});
    m_silent_until.erase(who.key());
}

void holder_view::note_silent(const holder& who, time_point now) {
    m_silent_until.insert_or_assign(who.key(), now + silent_time);
}

} // namespace eelgrassdoor::limits
