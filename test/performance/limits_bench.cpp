/// \file
/// Simulates wrongful refusals and over-admission of the rate limits, in comparison with two
/// baselines: an even split of the rate per host, and one bucket in the key-value service whose
/// calls are limited by a budget.
#include "base/random_source.hpp"
#include "limits/fractional_token.hpp"
#include "limits/holder_view.hpp"
#include "limits/slot_buckets.hpp"

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::limits;

constexpr std::size_t hosts = 8;
constexpr std::size_t hosts_per_zone = 2;
constexpr double rate = 40;
constexpr double burst = 20;
constexpr double run_s = 300;
/// Times at which one host fails and at which its slot is taken over.
constexpr double lost_at_s = 100;
constexpr double taken_over_at_s = 105;
/// Calls per second to the key-value service that one customer may cause in the second baseline.
constexpr double kv_calls_per_second = 50;

/// The load of one run.
struct arrival_plan {
    /// Offered load as a fraction of the rate.
    double offered = 1;
    /// Whether all requests arrive at one host.
    bool one_sided = false;
    /// Whether one host fails and its slot is taken over.
    bool fails_host = false;
};

/// Counts of requests and messages in one run.
struct outcome {
    int sent = 0;
    /// Refused requests that one ideal bucket would admit.
    int wrongful = 0;
    /// Requests that one ideal bucket would admit.
    int ideal = 0;
    int admitted = 0;
    /// Requests to slot holders, or calls to the key-value service.
    int messages = 0;
    /// The largest number of tokens admitted beyond rate * t + burst.
    double excess = 0;
};

/// One exact bucket for the whole fleet, the reference for all limiters.
class ideal_bucket {
public:
    bool admit(double now) {
        fill(now);
        const bool has_token = m_tokens >= 1;
        m_tokens -= has_token ? 1 : 0;
        return has_token;
    }
    /// Takes a token whether or not there is one; returns how far below zero the bucket is.
    double take_unconditionally(double now) {
        fill(now);
        m_tokens -= 1;
        return -m_tokens;
    }

private:
    void fill(double now) {
        m_tokens = std::min(burst, m_tokens + rate * (now - m_at));
        m_at = now;
    }
    double m_tokens = burst;
    double m_at = 0;
};

/// A method of enforcing the limit.
class rate_limiter {
public:
    virtual ~rate_limiter() = default;
    /// Whether a request at \p host is admitted; adds the messages that this takes to \p messages.
    virtual bool admit(std::size_t host, double now_s, int& messages) = 0;
    virtual void fail_host(std::size_t) {}
    virtual void take_over(std::size_t) {}
};

/// Baseline: a bucket on each host with an equal share of rate and burst.
class even_split : public rate_limiter {
public:
    even_split() {
        for (double& t : m_tokens) {
            t = burst / hosts;
        }
    }
    bool admit(std::size_t host, double now_s, int&) override {
        double& tokens = m_tokens[host];
        tokens = std::min(burst / hosts, tokens + rate / hosts * (now_s - m_at[host]));
        m_at[host] = now_s;
        const bool has_token = tokens >= 1;
        tokens -= has_token ? 1 : 0;
        return has_token;
    }

private:
    double m_tokens[hosts];
    double m_at[hosts] = {};
};

/// Baseline: one bucket in the key-value service.
class kv_bucket : public rate_limiter {
public:
    bool admit(std::size_t, double now_s, int& messages) override {
        // Each decision takes a read and a compare-and-swap. Requests over the budget are refused.
        m_calls = std::min(kv_calls_per_second, m_calls + kv_calls_per_second * (now_s - m_at));
        m_at = now_s;
        if (m_calls < 2) {
            return false;
        }
        m_calls -= 2;
        messages += 2;
        return m_bucket.admit(now_s);
    }

private:
    double m_calls = kv_calls_per_second;
    double m_at = 0;
    ideal_bucket m_bucket;
};

/// Slots on the hosts, with the decisions of holder_view and slot_buckets.
class slot_limiter : public rate_limiter {
public:
    slot_limiter() : m_views(hosts) {
        for (std::size_t i = 0; i < hosts; ++i) {
            m_slots.push_back(make_slot_buckets(true, 0));
            m_holders.push_back({std::to_string(i), 0, {}, false});
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            std::vector<holder> seen = m_holders;
            for (std::size_t j = 0; j < hosts; ++j) {
                seen[j].same_zone = j / hosts_per_zone == i / hosts_per_zone;
            }
            m_views[i].set_holders(seen);
        }
    }

    bool admit(std::size_t host, double now_s, int& messages) override {
        const time_point now = time_point() + from_seconds(now_s);
        holder_view& view = m_views[host];
        const bucket_params share{rate / hosts, burst / hosts};
        const acquire_plan plan = view.plan("c", share, now);
        if (!plan.token_possible || !plan.preferred_holder) {
            return false;
        }
        if (!plan.use_fractions &&
            request_tokens(view, *plan.preferred_holder, 1, false, now, messages).amount >= 1) {
            return true;
        }
        fractional_token token;
        for (int round = 0; round < 2 && !token.complete(); ++round) {
            for (const fraction_request& request :
                 view.fraction_requests("c", share, token.missing(), now)) {
                const grant g =
                    request_tokens(view, request.lender, request.want, true, now, messages);
                token.add({std::stoul(request.lender.host), g.id, g.amount});
            }
        }
        for (const fractional_grant& refund : token.refunds()) {
            if (m_slots[refund.lender_index] != nullptr) {
                m_slots[refund.lender_index]->return_loan(refund.grant_id, refund.amount, now);
            }
        }
        return token.complete();
    }

    void fail_host(std::size_t host) override { m_slots[host] = nullptr; }
    void take_over(std::size_t host) override {
        m_slots[host] = make_slot_buckets(false, taken_over_at_s);
    }

private:
    static std::unique_ptr<slot_buckets> make_slot_buckets(bool full, double now_s) {
        std::set<std::string, std::less<>> known{"c"};
        auto buckets = std::make_unique<slot_buckets>(full, known);
        buckets->configure({{"c", {rate, burst}}}, hosts, time_point() + from_seconds(now_s));
        return buckets;
    }

    grant request_tokens(holder_view& view, const holder& h, double want, bool allow_partial,
                         time_point now, int& messages) {
        ++messages;
        slot_buckets* buckets = m_slots[std::stoul(h.host)].get();
        if (buckets == nullptr) {
            view.mark_unresponsive(h, now);
            return {};
        }
        const grant g = buckets->acquire("c", want, allow_partial, now);
        view.record_balance(h, "c", g.balance, now);
        return g;
    }

    std::vector<std::unique_ptr<slot_buckets>> m_slots;
    std::vector<holder> m_holders;
    std::vector<holder_view> m_views;
};

outcome run(rate_limiter& limiter, const arrival_plan& plan, std::uint64_t seed) {
    random_source random(seed);
    ideal_bucket ideal;
    ideal_bucket admitted_bucket;
    outcome out;
    bool lost = false;
    bool taken_over = false;
    for (double t = random.exponential(1 / (rate * plan.offered)); t < run_s;
         t += random.exponential(1 / (rate * plan.offered))) {
        if (plan.fails_host && t > lost_at_s && !lost) {
            limiter.fail_host(hosts - 1);
            lost = true;
        }
        if (plan.fails_host && t > taken_over_at_s && !taken_over) {
            limiter.take_over(hosts - 1);
            taken_over = true;
        }
        const std::size_t live = lost ? hosts - 1 : hosts;
        const std::size_t host = plan.one_sided ? 0 : random.below(live);
        const bool ideal_admits = ideal.admit(t);
        const bool limiter_admits = limiter.admit(host, t, out.messages);
        ++out.sent;
        out.ideal += ideal_admits ? 1 : 0;
        out.admitted += limiter_admits ? 1 : 0;
        out.wrongful += ideal_admits && !limiter_admits ? 1 : 0;
        if (limiter_admits) {
            out.excess = std::max(out.excess, admitted_bucket.take_unconditionally(t));
        }
    }
    return out;
}

void print_row(const char* name, const arrival_plan& plan, rate_limiter&& limiter) {
    const outcome o = run(limiter, plan, 7);
    std::printf("| %-12s | %4.0f%% | %-9s | %-9s | %6d | %7.2f%% | %6.2f%% | %6.2f | %5.2f |\n",
                name, plan.offered * 100, plan.one_sided ? "one-sided" : "even",
                plan.fails_host ? "one lost" : "all up", o.sent, 100.0 * o.wrongful / o.sent,
                100.0 * (o.ideal - o.admitted) / o.sent, std::max(0.0, o.excess),
                static_cast<double>(o.messages) / o.sent);
}

} // namespace

int main() {
    std::printf("| limiter | offered | arrivals | hosts | sent | wrongful | shortfall | excess | "
                "messages |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const bool fail_host : {false, true}) {
        for (const bool one_sided : {false, true}) {
            for (const double offered : {0.5, 0.95, 1.0, 5.0}) {
                const arrival_plan plan{offered, one_sided, fail_host};
                print_row("slot buckets", plan, slot_limiter());
                print_row("even split", plan, even_split());
                print_row("kv bucket", plan, kv_bucket());
            }
        }
    }
    return 0;
}
