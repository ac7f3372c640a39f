#include "limits/holder_view.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::limits {

namespace {

/// A part of the own zone is asked first while it is at least this full. Below, the fullest part
/// of all is asked, so that no part overflows while another is empty.
constexpr double local_preference = 0.5;
constexpr double smallest_useful = 1e-6;

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

double holder_view::estimate(const holder& who, std::string_view customer, part_share share,
                             time_point now) const {
    const auto by_host = m_seen.find(who.key());
    if (by_host == m_seen.end()) {
        return share.capacity;
    }
    const auto found = by_host->second.find(customer);
    if (found == by_host->second.end()) {
        return share.capacity;
    }
    const double filled = share.rate_per_second * to_seconds(now - found->second.seen_at);
    return std::min(share.capacity, found->second.balance + filled);
}

ask_plan holder_view::plan(std::string_view customer, part_share share, time_point now) const {
    struct candidate {
        const holder* who;
        double tokens;
        double score;
    };
    std::vector<candidate> candidates;
    double sum = 0;
    for (const holder& h : m_holders) {
        if (silent(h, now)) {
            continue;
        }
        const double tokens = estimate(h, customer, share, now);
        const bool preferred = h.same_zone && tokens >= local_preference * share.capacity;
        candidates.push_back({&h, tokens, tokens + (preferred ? share.capacity : 0)});
        sum += tokens;
    }
    std::ranges::sort(candidates, [](const candidate& a, const candidate& b) {
        return std::pair(a.score, a.who->same_zone) > std::pair(b.score, b.who->same_zone);
    });
    ask_plan out;
    const double fill = share.rate_per_second * static_cast<double>(candidates.size());
    out.may_have_token = sum + smallest_useful >= 1;
    out.next_token = fill > 0 ? from_seconds(std::max(0.0, 1 - sum) / fill) : seconds(60);
    for (const candidate& c : candidates) {
        if (!out.first) {
            out.first = *c.who;
        } else if (c.tokens > smallest_useful) {
            out.others.push_back(*c.who);
        }
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
