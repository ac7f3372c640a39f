#include "limits/slot_buckets.hpp"

#include "base/text.hpp"

#include <utility>

namespace eelgrassdoor::limits {

slot_buckets::slot_buckets(bool begins_full, std::set<std::string, std::less<>> known_at_claim)
    : m_begins_full(begins_full), m_known_at_claim(std::move(known_at_claim)) {}

void slot_buckets::configure(const customer_limits& limits, std::size_t slot_count,
                             time_point now) {
    // The bucket of a customer removed from the sheet is kept without fill, so that the customer
    // does not start with a full bucket when it is added again.
    for (auto& [name, part] : m_parts) {
        if (!limits.contains(name)) {
            part.set_params({}, now);
        }
    }
    const auto count = static_cast<double>(slot_count);
    for (const auto& [name, limit] : limits) {
        const bucket_params params{limit.rate_per_second / count, limit.burst / count};
        const auto found = m_parts.find(name);
        if (found != m_parts.end()) {
            found->second.set_params(params, now);
            continue;
        }
        const bool full = m_begins_full || !m_known_at_claim.contains(name);
        m_parts.emplace(name, token_bucket(params, full ? params.capacity : 0, now));
    }
}

grant slot_buckets::acquire(std::string_view customer, double want, bool allow_partial,
                            time_point now) {
    const auto found = m_parts.find(customer);
    if (found == m_parts.end()) {
        return {};
    }
    token_bucket& part = found->second;
    while (!m_loans.empty() && m_loans.begin()->second.second <= now) {
        m_loans.erase(m_loans.begin());
    }
    grant out;
    out.id = m_next_grant++;
    if (allow_partial) {
        out.amount = part.lend(out.id, want, now, now + loan_return_window);
        m_loans[out.id] = {std::string(customer), now + loan_return_window};
    } else {
        out.amount = part.take(want, true, now);
    }
    out.balance = part.balance(now);
    out.next_token_s = part.seconds_to_token(now);
    return out;
}

void slot_buckets::return_loan(std::uint64_t grant_id, double amount, time_point now) {
    const auto found = m_loans.find(grant_id);
    if (found == m_loans.end()) {
        return;
    }
    m_parts.at(found->second.first).return_loan(grant_id, amount, now);
    m_loans.erase(found);
}

double slot_buckets::balance(std::string_view customer, time_point now) {
    const auto found = m_parts.find(customer);
    return found == m_parts.end() ? 0 : found->second.balance(now);
}

} // namespace eelgrassdoor::limits
