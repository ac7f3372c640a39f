/// \file
/// Wrongful refusals and over-admission of the rate limits against two baselines, by simulation of
/// the decision modules with message delays: an even split per host, and one bucket in the
/// key-value service whose calls cost its budget.
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
constexpr double lost_at_s = 100;
constexpr double taken_over_at_s = 105;
/// Calls a second that one customer may cost the key-value service in the second baseline.
constexpr double kv_calls_per_second = 50;

struct arrival_plan {
    double offered = 1;
    bool one_sided = false;
    bool lose_host = false;
};

struct outcome {
    int sent = 0;
    int wrongful = 0;
    int ideal = 0;
    int admitted = 0;
    int messages = 0;
    double excess = 0;
};

/// One bucket for the whole fleet: the yardstick.
class ideal_bucket {
public:
    bool admit(double now) {
        fill(now);
        const bool yes = m_tokens >= 1;
        m_tokens -= yes ? 1 : 0;
        return yes;
    }
    /// Takes a token whether or not there is one; returns how far below zero the bucket is.
    double force(double now) {
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

/// A way to keep the limit; `admit` gets the host and the time.
class way {
public:
    virtual ~way() = default;
    virtual bool admit(std::size_t host, double now_s, int& messages) = 0;
    virtual void lose(std::size_t) {}
    virtual void take_over(std::size_t) {}
};

class even_split : public way {
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
        const bool yes = tokens >= 1;
        tokens -= yes ? 1 : 0;
        return yes;
    }

private:
    double m_tokens[hosts];
    double m_at[hosts] = {};
};

class kv_bucket : public way {
public:
    bool admit(std::size_t, double now_s, int& messages) override {
        // Each decision is a read and a swap; what is over the budget is refused.
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

/// The parts with the decisions of the library.
class parts_way : public way {
public:
    parts_way() : m_views(hosts) {
        for (std::size_t i = 0; i < hosts; ++i) {
            m_parts.push_back(make_part(true, 0));
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
        const part_share share{rate / hosts, burst / hosts};
        const ask_plan plan = view.plan("c", share, now);
        if (!plan.may_have_token || !plan.first) {
            return false;
        }
        if (!plan.spread && ask(view, *plan.first, 1, false, now, messages).amount >= 1) {
            return true;
        }
        collection token;
        for (int round = 0; round < 2 && !token.complete(); ++round) {
            for (const ask_wish& w : view.wishes("c", share, token.missing(), now)) {
                const grant g = ask(view, w.who, w.want, true, now, messages);
                token.add({std::stoul(w.who.host), g.id, g.amount});
            }
        }
        for (const collected& c : token.settle()) {
            if (m_parts[c.part] != nullptr) {
                m_parts[c.part]->give_back(c.grant_id, c.amount, now);
            }
        }
        return token.complete();
    }

    void lose(std::size_t host) override { m_parts[host] = nullptr; }
    void take_over(std::size_t host) override { m_parts[host] = make_part(false, taken_over_at_s); }

private:
    static std::unique_ptr<part_table> make_part(bool full, double now_s) {
        std::set<std::string, std::less<>> known{"c"};
        auto part = std::make_unique<part_table>(full, known);
        part->configure({{"c", {rate, burst}}}, hosts, time_point() + from_seconds(now_s));
        return part;
    }

    grant ask(holder_view& view, const holder& h, double want, bool fraction, time_point now,
              int& messages) {
        ++messages;
        part_table* part = m_parts[std::stoul(h.host)].get();
        if (part == nullptr) {
            view.note_silent(h, now);
            return {};
        }
        const grant g = part->ask("c", want, fraction, now);
        view.note_balance(h, "c", g.balance, now);
        return g;
    }

    std::vector<std::unique_ptr<part_table>> m_parts;
    std::vector<holder> m_holders;
    std::vector<holder_view> m_views;
};

outcome run(way& w, const arrival_plan& plan, std::uint64_t seed) {
    random_source random(seed);
    ideal_bucket ideal;
    ideal_bucket strict;
    outcome out;
    bool lost = false;
    bool taken_over = false;
    for (double t = random.exponential(1 / (rate * plan.offered)); t < run_s;
         t += random.exponential(1 / (rate * plan.offered))) {
        if (plan.lose_host && t > lost_at_s && !lost) {
            w.lose(hosts - 1);
            lost = true;
        }
        if (plan.lose_host && t > taken_over_at_s && !taken_over) {
            w.take_over(hosts - 1);
            taken_over = true;
        }
        const std::size_t live = lost ? hosts - 1 : hosts;
        const std::size_t host = plan.one_sided ? 0 : random.below(live);
        const bool should = ideal.admit(t);
        const bool did = w.admit(host, t, out.messages);
        ++out.sent;
        out.ideal += should ? 1 : 0;
        out.admitted += did ? 1 : 0;
        out.wrongful += should && !did ? 1 : 0;
        if (did) {
            out.excess = std::max(out.excess, strict.force(t));
        }
    }
    return out;
}

void print_row(const char* name, const arrival_plan& plan, way&& w) {
    const outcome o = run(w, plan, 7);
    std::printf("| %-12s | %4.0f%% | %-9s | %-9s | %6d | %7.2f%% | %6.2f%% | %6.2f | %5.2f |\n",
                name, plan.offered * 100, plan.one_sided ? "one-sided" : "even",
                plan.lose_host ? "one lost" : "all up", o.sent, 100.0 * o.wrongful / o.sent,
                100.0 * (o.ideal - o.admitted) / o.sent, std::max(0.0, o.excess),
                static_cast<double>(o.messages) / o.sent);
}

} // namespace

int main() {
    std::printf(
        "| way | offered | arrivals | hosts | sent | wrongful | shortfall | excess | messages |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const bool lose : {false, true}) {
        for (const bool one_sided : {false, true}) {
            for (const double offered : {0.5, 0.95, 1.0, 5.0}) {
                const arrival_plan plan{offered, one_sided, lose};
                print_row("parts", plan, parts_way());
                print_row("even split", plan, even_split());
                print_row("kv bucket", plan, kv_bucket());
            }
        }
    }
    return 0;
}
