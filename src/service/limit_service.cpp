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
/// Below part_table::loan_time, so that what is lent is used or given back while its room is kept.
constexpr duration ask_timeout = milliseconds(60);
constexpr double rounding = 1e-9;
/// The second round asks again where the estimates of the first were too high. Both end within
/// part_table::loan_time.
constexpr int max_rounds = 2;
/// For how long a started daemon looks for the holders of all parts before it serves with fewer.
constexpr duration holder_search_time = seconds(5);

/// The holder of each slot of each zone; of two that claim one, the higher epoch is believed.
std::vector<limits::holder> find_holders(const membership::member_table& table) {
    std::map<std::pair<std::string, std::uint16_t>, std::pair<std::uint64_t, limits::holder>> best;
    for (const membership::member_record* r : table.live()) {
        const bool same_zone = r->availability_zone == table.self().availability_zone;
        for (const membership::held_slot& s : r->slots) {
            auto& [epoch, who] = best[{r->availability_zone, s.slot}];
            if (who.host.empty() || epoch < s.epoch) {
                epoch = s.epoch;
                who = {r->host, s.slot, r->peer_endpoint(), same_zone};
            }
        }
    }
    std::vector<limits::holder> out;
    for (auto& [place, claimant] : best) {
        out.push_back(std::move(claimant.second));
    }
    return out;
}

error refusal(duration retry_after) {
    return {error_code::rate_limited, "the customer's rate is used up", run_state::not_run,
            retry_after};
}

} // namespace

void limit_service::start() {
    m_ticker.start(refresh_interval, [this] { refresh_holders(); });
}

void limit_service::refresh_holders() {
    std::vector<limits::holder> holders = m_members.with_table(find_holders);
    m_shared.numbers.gauge("limit_holders", static_cast<double>(holders.size()));
    note_found(holders.size());
    const absl::MutexLock lock(&m_mutex);
    if (holders != m_view.holders()) {
        m_view.set_holders(std::move(holders));
    }
}

void limit_service::note_found(std::size_t holders) {
    const config::document_ptr doc = m_shared.configuration.get();
    if (m_ready || doc == nullptr || holders == 0) {
        return;
    }
    const time_point now = m_shared.clock();
    if (m_first_found == time_point{}) {
        m_first_found = now;
    }
    const bool all = holders >= limits::part_count(doc->parsed.availability_zones.size());
    m_ready = all || now - m_first_found >= holder_search_time;
}

std::optional<limits::part_share> limit_service::share_of(std::string_view customer) const {
    const config::document_ptr doc = m_shared.configuration.get();
    const auto found = doc->parsed.customers.find(customer);
    if (found == doc->parsed.customers.end()) {
        return std::nullopt;
    }
    const auto parts =
        static_cast<double>(limits::part_count(doc->parsed.availability_zones.size()));
    return limits::part_share{found->second.rate_per_second / parts, found->second.burst / parts};
}

limits::ask_plan limit_service::make_plan(std::string_view customer, limits::part_share share) {
    const absl::MutexLock lock(&m_mutex);
    return m_view.plan(customer, share, m_shared.clock());
}

result<void> limit_service::admit(std::string_view customer, std::string_view request_id) {
    const std::optional<limits::part_share> share = share_of(customer);
    if (!share) {
        return error{error_code::forbidden, "the customer does not exist any more",
                     run_state::not_run};
    }
    const limits::ask_plan plan = make_plan(customer, *share);
    if (!plan.first) {
        return error{error_code::unavailable, "no holder of the customer's rate is reachable",
                     run_state::not_run, seconds(1)};
    }
    const bool granted = plan.may_have_token && ((!plan.spread && ask_one(*plan.first, customer)) ||
                                                 ask_together(customer, *share));
    if (granted) {
        m_shared.numbers.count("limit_granted_total");
        m_shared.events.emit(observe::event::limit_granted, request_id,
                             {{"customer", std::string(customer)}});
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    m_shared.numbers.count("limit_refused_total");
    m_shared.events.emit(observe::event::limit_refused, request_id,
                         {{"customer", std::string(customer)}});
    return refusal(make_plan(customer, *share).next_token);
}

bool limit_service::note_answer(const limits::holder& who, std::string_view customer,
                                const std::optional<peer::limit_answer>& answer) {
    const time_point now = m_shared.clock();
    const absl::MutexLock lock(&m_mutex);
    if (!answer || !answer->in_authority) {
        m_view.note_silent(who, now);
        return false;
    }
    m_view.note_balance(who, customer, answer->balance, now);
    return true;
}

bool limit_service::ask_one(const limits::holder& who, std::string_view customer) {
    const peer::limit_ask ask{std::string(customer), who.slot, 1, false};
    m_shared.numbers.count("limit_asks_total");
    std::optional<peer::limit_answer> answer;
    if (who.host == m_shared.settings.host) {
        answer = m_own_slots.answer(ask);
    } else if (const auto body = m_shared.node.call(who.endpoint, peer::message_type::limit_ask,
                                                    peer::encode(ask), ask_timeout)) {
        answer = peer::decode<peer::limit_answer>(*body);
    }
    return note_answer(who, customer, answer) && answer->granted + rounding >= 1;
}

void limit_service::collect(std::span<const limits::ask_wish> wishes, std::string_view customer,
                            std::vector<limits::holder>& lenders, limits::collection& token) {
    std::vector<std::optional<peer::limit_answer>> answers(wishes.size());
    std::vector<peer::outgoing_call> calls;
    std::vector<std::size_t> index_of_call;
    for (std::size_t i = 0; i < wishes.size(); ++i) {
        const limits::holder& who = wishes[i].who;
        const peer::limit_ask ask{std::string(customer), who.slot, wishes[i].want, true};
        m_shared.numbers.count("limit_asks_total");
        if (who.host == m_shared.settings.host) {
            answers[i] = m_own_slots.answer(ask);
            continue;
        }
        calls.push_back({who.endpoint, peer::message_type::limit_ask, peer::encode(ask)});
        index_of_call.push_back(i);
    }
    m_shared.node.call_many(calls, ask_timeout, [&](std::size_t call, const std::string& body) {
        answers[index_of_call[call]] = peer::decode<peer::limit_answer>(body);
        return false;
    });
    for (std::size_t i = 0; i < wishes.size(); ++i) {
        if (note_answer(wishes[i].who, customer, answers[i]) && answers[i]->granted > 0) {
            token.add({lenders.size(), answers[i]->grant_id, answers[i]->granted});
            lenders.push_back(wishes[i].who);
        }
    }
}

bool limit_service::ask_together(std::string_view customer, limits::part_share share) {
    limits::collection token;
    std::vector<limits::holder> lenders;
    for (int round = 0; round < max_rounds && !token.complete(); ++round) {
        std::vector<limits::ask_wish> wishes;
        {
            const absl::MutexLock lock(&m_mutex);
            wishes = m_view.wishes(customer, share, token.missing(), m_shared.clock());
        }
        if (wishes.empty()) {
            break;
        }
        collect(wishes, customer, lenders, token);
    }
    for (const limits::collected& c : token.settle()) {
        give_back(lenders[c.part], c.grant_id, c.amount);
    }
    return token.complete();
}

void limit_service::give_back(const limits::holder& whom, std::uint64_t grant_id, double amount) {
    // A loan that was used whole is settled too, so that its room is free at once.
    const peer::limit_return back{whom.slot, grant_id, amount};
    if (whom.host == m_shared.settings.host) {
        m_own_slots.take_back(back);
    } else {
        m_shared.node.send(whom.endpoint, peer::message_type::limit_return, peer::encode(back));
    }
}

} // namespace eelgrassdoor::service
