#include "limits/slot_buckets.hpp"

#include "base/text.hpp"

#include <utility>

namespace eelgrassdoor::limits {

slot_buckets::slot_buckets(bool starts_full, std::set<std::string, std::less<>> known_at_claim)
    : m_starts_full(starts_full), m_known_at_claim(std::move(known_at_claim)) {}

void slot_buckets::configure(const customer_limits& limits, std::size_t slot_count,
                             time_point now) {
    // The bucket of a customer removed from the sheet is kept without fill, so that the customer
    // does not start with a full bucket when it is added again.
    for (auto& [name, bucket] : m_buckets) {
        if (!limits.contains(name)) {
            bucket.set_params({}, now);
        }
    }
    const auto count = static_cast<double>(slot_count);
    for (const auto& [name, limit] : limits) {
        const bucket_params params{limit.rate_per_second / count, limit.burst / count};
        const auto found = m_buckets.find(name);
        if (found != m_buckets.end()) {
            found->second.set_params(params, now);
            continue;
        }
        const bool full = m_starts_full || !m_known_at_claim.contains(name);
        m_buckets.emplace(name, token_bucket(params, full ? params.capacity : 0, now));
    }
}

grant slot_buckets::acquire(std::string_view customer, double want, bool allow_partial,
                            time_point now) {
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end()) {
        return {};
    }
    token_bucket& bucket = found->second;
    while (!m_loans.empty() && m_loans.begin()->second.second <= now) {
        m_loans.erase(m_loans.begin());
    }
    grant out;
    out.id = m_next_grant++;
    if (allow_partial) {
        out.amount = bucket.lend(out.id, want, now, now + loan_return_window);
        m_loans[out.id] = {std::string(customer), now + loan_return_window};
    } else {
        out.amount = bucket.take(want, true, now);
    }
    out.balance = bucket.balance(now);
    out.next_token_s = bucket.seconds_to_next_token(now);
    return out;
}

void slot_buckets::return_loan(std::uint64_t grant_id, double amount, time_point now) {
    const auto found = m_loans.find(grant_id);
    if (found == m_loans.end()) {
        return;
    }
    m_buckets.at(found->second.first).return_loan(grant_id, amount, now);
    m_loans.erase(found);
}

double slot_buckets::balance(std::string_view customer, time_point now) {
    const auto found = m_buckets.find(customer);
    return found == m_buckets.end() ? 0 : found->second.balance(now);
}

} // namespace eelgrassdoor::limits
