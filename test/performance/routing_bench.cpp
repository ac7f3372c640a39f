/// \file
/// Compares three target selection policies by time to first token, prefix cache hits and the
/// worst-served customer. Simulates engines with slots, prefix caches and delayed load reports at
/// the fleet sizes of the users.
#include "base/random_source.hpp"
#include "routing/fair_queue.hpp"
#include "routing/target_view.hpp"

#include <algorithm>
#include <cstdio>
#include <list>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::routing;

constexpr int hosts = 8;
constexpr int zones = 4;
constexpr int slots = 8;
constexpr int customers = 8;
constexpr int prompt_groups = 48;
constexpr std::size_t cache_entries = 8;
constexpr double prefill_s = 0.20;
constexpr double cached_prefill_s = 0.04;
constexpr double token_s = 0.025;
constexpr double mean_tokens = 60;
constexpr double report_interval_s = 0.25;
constexpr double report_lag_s = 0.2;
constexpr double run_s = 300;

/// One simulated request.
struct sim_request {
    /// Arrival time, in seconds since the start of the run as all times of the simulation.
    double due;
    int host;
    int customer;
    /// Requests of the same group have the same prompt prefix.
    int group;
    double tokens;
    std::string engine;
    double sent;
};

/// A simulated engine with its slots and prefix cache.
struct engine {
    std::string name;
    std::list<sim_request> waiting;
    int running = 0;
    /// Prompt groups in the prefix cache, the most recently used first.
    std::list<int> cache;
    /// Past loads by time, from which delayed reports are made.
    std::vector<std::pair<double, int>> history;
};

enum class event_kind { arrival, first_token, finished, report };

/// An event of the simulation; the earliest is at the top of the priority queue.
struct sim_event {
    double at;
    event_kind kind;
    sim_request request;
    bool operator<(const sim_event& o) const { return at > o.at; }
};

/// Results of one run; times to first token are in seconds.
struct outcome {
    std::vector<double> first;
    std::map<int, std::vector<double>> by_customer;
    int cache_hits = 0;
    int admitted = 0;
};

double quantile(std::vector<double> v, double p) {
    if (v.empty()) {
        return 0;
    }
    std::ranges::sort(v);
    return v[std::min(v.size() - 1, static_cast<std::size_t>(p * static_cast<double>(v.size())))];
}

class simulation {
public:
    simulation(pick_policy policy, int engines, double load, std::uint64_t seed)
        : m_policy(policy), m_random(seed) {
        std::vector<target_info> infos;
        for (int i = 0; i < engines; ++i) {
            const std::string name = "e" + std::to_string(i);
            m_engines[name].name = name;
            infos.push_back({name, "x", "z" + std::to_string(i % zones), false, {"m"}});
        }
        for (int h = 0; h < hosts; ++h) {
            m_views.emplace_back("z" + std::to_string(h % zones), policy);
            m_views.back().set_targets(infos);
            m_queues.emplace_back();
        }
        const double service = 0.1 + mean_tokens * token_s;
        const double rate = load * engines * slots / service;
        for (double t = m_random.exponential(1 / rate); t < run_s;
             t += m_random.exponential(1 / rate)) {
            // One customer of eight sends half of all requests.
            const int customer =
                m_random.uniform() < 0.5 ? 0 : 1 + static_cast<int>(m_random.below(customers - 1));
            sim_request request{t,
                                static_cast<int>(m_random.below(hosts)),
                                customer,
                                static_cast<int>(m_random.below(prompt_groups)),
                                1 + m_random.exponential(mean_tokens),
                                {},
                                0};
            m_events.push({t, event_kind::arrival, request});
        }
        for (double t = 0; t < run_s; t += report_interval_s) {
            m_events.push({t, event_kind::report, {}});
        }
    }

    outcome run() {
        while (!m_events.empty()) {
            const sim_event e = m_events.top();
            m_events.pop();
            m_now = e.at;
            switch (e.kind) {
            case event_kind::arrival:
                arrive(e.request);
                break;
            case event_kind::first_token:
                m_out.first.push_back(m_now - e.request.due);
                m_out.by_customer[e.request.customer].push_back(m_now - e.request.due);
                break;
            case event_kind::finished:
                finish(e.request);
                break;
            case event_kind::report:
                report();
                break;
            }
        }
        return m_out;
    }

private:
    time_point now() const { return time_point() + from_seconds(1000 + m_now); }

    bool dispatch(const sim_request& request) {
        const pick_request criteria{"m",
                                    prefix_hash("group " + std::to_string(request.group)),
                                    {},
                                    m_policy != pick_policy::affinity_then_least_load};
        const auto picked = m_views[request.host].pick(criteria, now(), m_random);
        if (!picked) {
            return false;
        }
        sim_request sent = request;
        sent.engine = picked->name;
        sent.sent = m_now;
        m_views[request.host].record_sent(picked->name);
        engine& e = m_engines[picked->name];
        e.waiting.push_back(sent);
        admit(e);
        return true;
    }

    void arrive(const sim_request& request) {
        if (m_queues[request.host].size() > 0 || !dispatch(request)) {
            m_waiting[++m_next] = request;
            m_queues[request.host].push(m_next, std::to_string(request.customer), 1,
                                        time_point::max());
        }
    }

    void dispatch_queued(int host) {
        while (const auto id = m_queues[host].front()) {
            if (!dispatch(m_waiting[*id])) {
                return;
            }
            m_waiting.erase(*id);
            m_queues[host].pop();
        }
    }

    void admit(engine& e) {
        while (e.running < slots && !e.waiting.empty()) {
            const sim_request request = e.waiting.front();
            e.waiting.pop_front();
            ++e.running;
            const auto found = std::ranges::find(e.cache, request.group);
            const bool hit = found != e.cache.end();
            if (hit) {
                e.cache.erase(found);
            }
            e.cache.push_front(request.group);
            if (e.cache.size() > cache_entries) {
                e.cache.pop_back();
            }
            ++m_out.admitted;
            m_out.cache_hits += hit ? 1 : 0;
            const double first = m_now + (hit ? cached_prefill_s : prefill_s);
            m_events.push({first, event_kind::first_token, request});
            m_events.push({first + request.tokens * token_s, event_kind::finished, request});
        }
        e.history.emplace_back(m_now, e.running + static_cast<int>(e.waiting.size()));
    }

    void finish(const sim_request& request) {
        engine& e = m_engines[request.engine];
        --e.running;
        admit(e);
        m_views[request.host].record_ended(request.engine,
                                           time_point() + from_seconds(1000 + request.sent));
        dispatch_queued(request.host);
    }

    void report() {
        for (auto& [name, e] : m_engines) {
            int load = 0;
            for (const auto& [at, value] : e.history) {
                load = at <= m_now - report_lag_s ? value : load;
            }
            std::erase_if(e.history, [this](const auto& h) { return h.first < m_now - 2; });
            const auto running = static_cast<std::uint32_t>(std::min(load, slots));
            for (target_view& view : m_views) {
                view.record_report(name, {running, static_cast<std::uint32_t>(load) - running,
                                          slots, 0, now() - from_seconds(report_lag_s)});
            }
        }
        for (int h = 0; h < hosts; ++h) {
            dispatch_queued(h);
        }
    }

    pick_policy m_policy;
    random_source m_random;
    double m_now = 0;
    std::priority_queue<sim_event> m_events;
    std::map<std::string, engine> m_engines;
    std::vector<target_view> m_views;
    std::vector<fair_queue> m_queues;
    std::map<std::uint64_t, sim_request> m_waiting;
    std::uint64_t m_next = 0;
    outcome m_out;
};

void print_row(const char* user, int engines, double load, const char* name, pick_policy policy) {
    const outcome o = simulation(policy, engines, load, 11).run();
    double worst = 0;
    for (const auto& [customer, first] : o.by_customer) {
        worst = std::max(worst, quantile(first, 0.95));
    }
    std::printf("| %s, %d engines | %.0f%% | %-20s | %6.0f | %6.0f | %6.0f | %5.1f%% | %6.0f |\n",
                user, engines, load * 100, name, quantile(o.first, 0.5) * 1e3,
                quantile(o.first, 0.95) * 1e3, quantile(o.first, 0.99) * 1e3,
                100.0 * o.cache_hits / o.admitted, worst * 1e3);
}

} // namespace

int main() {
    std::printf("| user | load | policy | first token p50 ms | p95 | p99 | prefix hits | "
                "worst customer p95 |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto& [user, engines] : {std::pair{"Trust", 10}, std::pair{"Atlas", 12}}) {
        for (const double load : {0.5, 0.8, 0.95}) {
            print_row(user, engines, load, "random", pick_policy::random);
            print_row(user, engines, load, "least reported load", pick_policy::least_reported);
            print_row(user, engines, load, "affinity, least load",
                      pick_policy::affinity_then_least_load);
        }
    }
    return 0;
}
