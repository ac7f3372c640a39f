#include "base/text.hpp"
#include "limits/slot_buckets.hpp"

#include <utility>

namespace eelgrassdoor::limits {

part_table::part_table(bool begins_full, std::set<std::string, std::less<>> known_at_claim)
    : m_begins_full(begins_full), m_known_at_claim(std::move(known_at_claim)) {}

void part_table::configure(const customer_limits& limits, std::size_t part_count, time_point now) {
    // A customer that left the sheet keeps its part without fill: when it comes back, it must not
    // begin full again.
    for (auto& [name, part] : m_parts) {
        if (!limits.contains(name)) {
            part.set_share({}, now);
        }
    }
    const auto count = static_cast<double>(part_count);
    for (const auto& [name, limit] : limits) {
        const part_share share{limit.rate_per_second / count, limit.burst / count};
        const auto found = m_parts.find(name);
        if (found != m_parts.end()) {
            found->second.set_share(share, now);
            continue;
        }
        const bool full = m_begins_full || !m_known_at_claim.contains(name);
        m_parts.emplace(name, token_part(share, full ? share.capacity : 0, now));
    }
}

grant part_table::ask(std::string_view customer, double want, bool fraction_helps, time_point now) {
    const auto found = m_parts.find(customer);
    if (found == m_parts.end()) {
        return {};
    }
    token_part& part = found->second;
    while (!m_loans.empty() && m_loans.begin()->second.second <= now) {
        m_loans.erase(m_loans.begin());
    }
    grant out;
    out.id = m_next_grant++;
    if (fraction_helps) {
        out.amount = part.lend(out.id, want, now, now + loan_time);
        m_loans[out.id] = {std::string(customer), now + loan_time};
    } else {
        out.amount = part.take(want, true, now);
    }
    out.balance = part.balance(now);
    out.next_token_s = part.seconds_to_token(now);
    return out;
}

void part_table::give_back(std::uint64_t grant_id, double amount, time_point now) {
    const auto found = m_loans.find(grant_id);
    if (found == m_loans.end()) {
        return;
    }
    m_parts.at(found->second.first).give_back(grant_id, amount, now);
    m_loans.erase(found);
}

double part_table::balance(std::string_view customer, time_point now) {
    const auto found = m_parts.find(customer);
    return found == m_parts.end() ? 0 : found->second.balance(now);
}

} // namespace eelgrassdoor::limits
