#include "service/limit_service.hpp"

#include "limits/slot_buckets.hpp"
#include "limits/slot_record.hpp"
#include "peer/codec.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace eelgrassdoor::service {

namespace {

constexpr duration refresh_interval = milliseconds(200);
/// Shorter than slot_buckets::loan_return_window, so that lent tokens are used or returned before
/// the loan ends.
constexpr duration request_timeout = milliseconds(60);
constexpr double token_epsilon = 1e-9;
/// The second round makes up for holders that granted less than estimated in the first. Both rounds
/// end within slot_buckets::loan_return_window.
constexpr int max_rounds = 2;
/// How long a daemon waits after its start for the holders of all slots before it serves with
/// fewer.
constexpr duration max_holder_search_time = seconds(5);

/// The holder of each slot of each zone; when two daemons claim a slot, the one with the higher
/// epoch.
std::vector<limits::holder> find_holders(const membership::member_table& table) {
    std::map<std::pair<std::string, std::uint16_t>, std::pair<std::uint64_t, limits::holder>> best;
    for (const membership::member_record* r : table.live()) {
        const bool same_zone = r->availability_zone == table.self().availability_zone;
        for (const membership::held_slot& s : r->slots) {
            auto& [epoch, holder] = best[{r->availability_zone, s.slot}];
            if (holder.host.empty() || epoch < s.epoch) {
                epoch = s.epoch;
                holder = {r->host, s.slot, r->peer_endpoint(), same_zone};
            }
        }
    }
    std::vector<limits::holder> out;
    for (auto& [slot_key, claimant] : best) {
        out.push_back(std::move(claimant.second));
    }
    return out;
}

error rate_limited_error(duration retry_after) {
    return {error_code::rate_limited, "the customer's rate limit is exceeded", run_state::not_run,
            retry_after};
}

} // namespace

void limit_service::start() {
    m_ticker.start(refresh_interval, [this] { refresh_holders(); });
}

void limit_service::refresh_holders() {
    std::vector<limits::holder> holders = m_members.with_table(find_holders);
    m_context.metrics.gauge("limit_holders", static_cast<double>(holders.size()));
    update_readiness(holders.size());
    const absl::MutexLock lock(&m_mutex);
    if (holders != m_view.holders()) {
        m_view.set_holders(std::move(holders));
    }
}

void limit_service::update_readiness(std::size_t holders) {
    const config::document_ptr doc = m_context.configuration.get();
    if (m_ready || doc == nullptr || holders == 0) {
        return;
    }
    const time_point now = m_context.clock();
    if (m_first_holder_at == time_point{}) {
        m_first_holder_at = now;
    }
    const bool all = holders >= limits::slot_count(doc->parsed.availability_zones.size());
    m_ready = all || now - m_first_holder_at >= max_holder_search_time;
}

std::optional<limits::bucket_params>
limit_service::bucket_params_of(std::string_view customer) const {
    const config::document_ptr doc = m_context.configuration.get();
    const auto found = doc->parsed.customers.find(customer);
    if (found == doc->parsed.customers.end()) {
        return std::nullopt;
    }
    const auto slot_count =
        static_cast<double>(limits::slot_count(doc->parsed.availability_zones.size()));
    return limits::bucket_params{found->second.rate_per_second / slot_count,
                                 found->second.burst / slot_count};
}

limits::acquire_plan limit_service::make_plan(std::string_view customer,
                                              limits::bucket_params bucket) {
    const absl::MutexLock lock(&m_mutex);
    return m_view.plan(customer, bucket, m_context.clock());
}

result<void> limit_service::admit(std::string_view customer, std::string_view request_id) {
    const std::optional<limits::bucket_params> bucket = bucket_params_of(customer);
    if (!bucket) {
        return error{error_code::forbidden, "the customer no longer exists", run_state::not_run};
    }
    const limits::acquire_plan plan = make_plan(customer, *bucket);
    if (!plan.preferred_holder) {
        return error{error_code::unavailable,
                     "no host that grants the customer's rate limit is reachable",
                     run_state::not_run, seconds(1)};
    }
    const bool granted =
        plan.token_possible &&
        ((!plan.use_fractions && acquire_whole(*plan.preferred_holder, customer)) ||
         acquire_in_fractions(customer, *bucket));
    if (granted) {
        m_context.metrics.count("limit_granted_total");
        m_context.events.emit(observe::event::limit_granted, request_id,
                              {{"customer", std::string(customer)}});
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    m_context.metrics.count("limit_refused_total");
    m_context.events.emit(observe::event::limit_refused, request_id,
                          {{"customer", std::string(customer)}});
    return rate_limited_error(make_plan(customer, *bucket).time_to_next_token);
}

bool limit_service::record_answer(const limits::holder& holder, std::string_view customer,
                                  const std::optional<peer::limit_response>& answer) {
    const time_point now = m_context.clock();
    const absl::MutexLock lock(&m_mutex);
    if (!answer || !answer->has_authority) {
        m_view.mark_unresponsive(holder, now);
        return false;
    }
    m_view.record_balance(holder, customer, answer->balance, now);
    return true;
}

bool limit_service::acquire_whole(const limits::holder& holder, std::string_view customer) {
    const peer::limit_request request{std::string(customer), holder.slot, 1, false};
    m_context.metrics.count("limit_asks_total");
    std::optional<peer::limit_response> answer;
    if (holder.host == m_context.settings.host) {
        answer = m_limit_slots.grant_tokens(request);
    } else if (const auto body =
                   m_context.transport.call(holder.endpoint, peer::message_type::limit_request,
                                            peer::encode(request), request_timeout)) {
        answer = peer::decode<peer::limit_response>(*body);
    }
    return record_answer(holder, customer, answer) && answer->granted + token_epsilon >= 1;
}

void limit_service::collect(std::span<const limits::fraction_request> requests,
                            std::string_view customer, std::vector<limits::holder>& lenders,
                            limits::fractional_token& token) {
    std::vector<std::optional<peer::limit_response>> answers(requests.size());
    std::vector<peer::outgoing_call> calls;
    std::vector<std::size_t> index_of_call;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const limits::holder& holder = requests[i].lender;
        const peer::limit_request request{std::string(customer), holder.slot, requests[i].want,
                                          true};
        m_context.metrics.count("limit_asks_total");
        if (holder.host == m_context.settings.host) {
            answers[i] = m_limit_slots.grant_tokens(request);
            continue;
        }
        calls.push_back(
            {holder.endpoint, peer::message_type::limit_request, peer::encode(request)});
        index_of_call.push_back(i);
    }
    m_context.transport.call_many(
        calls, request_timeout, [&](std::size_t call, const std::string& body) {
            answers[index_of_call[call]] = peer::decode<peer::limit_response>(body);
            return false;
        });
    for (std::size_t i = 0; i < requests.size(); ++i) {
        if (record_answer(requests[i].lender, customer, answers[i]) && answers[i]->granted > 0) {
            token.add({lenders.size(), answers[i]->grant_id, answers[i]->granted});
            lenders.push_back(requests[i].lender);
        }
    }
}

bool limit_service::acquire_in_fractions(std::string_view customer, limits::bucket_params bucket) {
    limits::fractional_token token;
    std::vector<limits::holder> lenders;
    for (int round = 0; round < max_rounds && !token.complete(); ++round) {
        std::vector<limits::fraction_request> requests;
        {
            const absl::MutexLock lock(&m_mutex);
            requests =
                m_view.fraction_requests(customer, bucket, token.missing(), m_context.clock());
        }
        if (requests.empty()) {
            break;
        }
        collect(requests, customer, lenders, token);
    }
    for (const limits::fractional_grant& grant : token.refunds()) {
        return_loan(lenders[grant.lender_index], grant.grant_id, grant.amount);
    }
    return token.complete();
}

void limit_service::return_loan(const limits::holder& lender, std::uint64_t grant_id,
                                double amount) {
    // A fully used loan is settled as well (amount 0), so that the lender need not reserve room for
    // its return any longer.
    const peer::limit_return loan_return{lender.slot, grant_id, amount};
    if (lender.host == m_context.settings.host) {
        m_limit_slots.accept_return(loan_return);
    } else {
        m_context.transport.send(lender.endpoint, peer::message_type::limit_return,
                                 peer::encode(loan_return));
    }
}

} // namespace eelgrassdoor::service
