/// \file
/// Defines a model of daemons whose requests find the targets full, without network or waiting: the
/// places are counted in common, each daemon sees those of others with a delay.
#pragma once

#include "base/random_source.hpp"
#include "routing/placement_queue.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// What a daemon does with a request that finds no place.
enum class full_rule { refuse_at_once, queue };

struct full_targets_options {
    int targets = 15;
    int slots = 8;
    /// Requests that a target holds beyond its slots.
    int queued = 2;
    std::size_t daemons = 20;
    int customers = 20;
    duration length = seconds(26);
    duration mean_service_time = milliseconds(500);
    /// Latency objective of the start at a slot, and the timeout.
    duration objective = milliseconds(300);
    duration timeout = seconds(5);
    /// Requests per second of each customer at a time since the start.
    std::function<double(int customer, duration at)> rate;
    std::uint64_t seed = 1;
};

/// Counts by customer. In time are those that start within the objective of their first attempt.
struct full_targets_outcome {
    std::vector<int> sent;
    std::vector<int> in_time;
    std::vector<int> served;

    full_targets_outcome& operator+=(const full_targets_outcome& other) {
        add(sent, other.sent);
        add(in_time, other.in_time);
        add(served, other.served);
        return *this;
    }
    [[nodiscard]] static double share(const std::vector<int>& part, const std::vector<int>& whole) {
        int sum = 0;
        int all = 0;
        for (std::size_t i = 0; i < whole.size(); ++i) {
            sum += part[i];
            all += whole[i];
        }
        return all == 0 ? 1 : static_cast<double>(sum) / all;
    }
    [[nodiscard]] double in_time_share() const { return share(in_time, sent); }
    [[nodiscard]] double served_share() const { return share(served, sent); }
    [[nodiscard]] double in_time_share_of(std::size_t customer) const {
        return static_cast<double>(in_time[customer]) / std::max(1, sent[customer]);
    }

private:
    static void add(std::vector<int>& sums, const std::vector<int>& counts) {
        sums.resize(std::max(sums.size(), counts.size()));
        std::ranges::transform(counts, sums, sums.begin(), std::plus<>());
    }
};

/// Runs one load in steps of 5 ms. Callers try once more after the delay that they are told.
class full_targets_model {
public:
    full_targets_model(full_targets_options options, full_rule rule)
        : m_options(std::move(options)), m_rule(rule), m_random(m_options.seed),
          m_targets(static_cast<std::size_t>(m_options.targets)), m_daemons(m_options.daemons) {
        const auto customers = static_cast<std::size_t>(m_options.customers);
        m_outcome.sent.resize(customers);
        m_outcome.in_time.resize(customers);
        m_outcome.served.resize(customers);
        for (daemon& each : m_daemons) {
            each.held.resize(m_targets.size());
            each.reported.resize(m_targets.size());
        }
    }

    full_targets_outcome run() {
        const time_point start = m_now;
        const time_point end = start + m_options.length + m_options.timeout;
        for (int steps = 0; m_now < end; ++steps, m_now += step) {
            end_requests();
            if (steps % report_steps == 0) {
                report();
            }
            if (m_now - start < m_options.length) {
                send(m_now - start);
            }
            retry();
            serve_waiting();
        }
        return m_outcome;
    }
    /// The highest number of requests that a target held.
    [[nodiscard]] int most_held() const { return m_most_held; }

private:
    static constexpr duration step = milliseconds(5);
    /// Loads are reported every 60 ms, and so seen 30 ms late on average.
    static constexpr int report_steps = 12;
    static constexpr duration fixed_retry_after = seconds(1);

    struct call {
        int customer = 0;
        time_point first_sent;
        bool is_retry = false;
        std::size_t daemon = 0;
    };
    struct running {
        time_point end;
        std::size_t daemon;
    };
    struct queued_call {
        call request;
        std::size_t daemon;
    };
    struct target {
        std::vector<running> slots;
        std::deque<queued_call> queue;
    };
    struct daemon {
        std::vector<int> held;
        /// Of all daemons, at the last report; and what this one held of it.
        std::vector<int> reported;
        routing::placement_queue queue;
        /// Places that waiting requests may take until the next report.
        int allowance = 0;
        std::map<routing::placement_id, call> waiting;
    };

    void send(duration at) {
        for (int customer = 0; customer < m_options.customers; ++customer) {
            const double expected = m_options.rate(customer, at) * to_seconds(step);
            int count = static_cast<int>(expected);
            count += m_random.uniform() < expected - count ? 1 : 0;
            for (; count > 0; --count) {
                ++m_outcome.sent[static_cast<std::size_t>(customer)];
                arrive({customer, m_now, false, m_random.below(m_daemons.size())});
            }
        }
    }
    void retry() {
        while (!m_retries.empty() && m_retries.begin()->first <= m_now) {
            const call request = m_retries.begin()->second;
            m_retries.erase(m_retries.begin());
            arrive(request);
        }
    }
    [[nodiscard]] int limit() const { return m_options.slots + m_options.queued; }

    bool place(const call& request, bool only_idle = false) {
        const int limit = only_idle ? m_options.slots / 2 + 1 : m_options.slots + m_options.queued;
        daemon& at = m_daemons[request.daemon];
        std::size_t best = m_targets.size();
        double least = 0;
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            const int seen = at.reported[i] + at.held[i];
            const double cost = seen + 0.16 * m_random.uniform();
            if (seen < limit && (best == m_targets.size() || cost < least)) {
                best = i;
                least = cost;
            }
        }
        if (best == m_targets.size()) {
            return false;
        }
        ++at.held[best];
        target& chosen = m_targets[best];
        chosen.queue.push_back({request, request.daemon});
        fill(chosen);
        m_most_held =
            std::max(m_most_held, static_cast<int>(chosen.slots.size() + chosen.queue.size()));
        return true;
    }
    void fill(target& at) {
        while (static_cast<int>(at.slots.size()) < m_options.slots && !at.queue.empty()) {
            const queued_call next = at.queue.front();
            at.queue.pop_front();
            const double spread = 0.7 + 0.6 * m_random.uniform();
            at.slots.push_back(
                {m_now + from_seconds(spread * to_seconds(m_options.mean_service_time)),
                 next.daemon});
            const auto customer = static_cast<std::size_t>(next.request.customer);
            const duration waited = m_now - next.request.first_sent;
            m_outcome.served[customer] += waited <= m_options.timeout ? 1 : 0;
            m_outcome.in_time[customer] += waited <= m_options.objective ? 1 : 0;
        }
    }
    void end_requests() {
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            std::erase_if(m_targets[i].slots, [&](const running& each) {
                const bool ended = each.end <= m_now;
                m_daemons[each.daemon].held[i] -= ended ? 1 : 0;
                m_daemons[each.daemon].allowance += ended ? 1 : 0;
                return ended;
            });
            fill(m_targets[i]);
        }
    }
    void report() {
        int free = 0;
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            int all = 0;
            for (const daemon& each : m_daemons) {
                all += each.held[i];
            }
            for (daemon& each : m_daemons) {
                each.reported[i] = all - each.held[i];
            }
            free += std::max(0, limit() - all);
        }
        for (daemon& each : m_daemons) {
            each.allowance = routing::part_of_free_places(free, m_daemons.size(), m_random);
        }
    }
    void arrive(const call& request) {
        daemon& at = m_daemons[request.daemon];
        if ((m_rule == full_rule::refuse_at_once || at.queue.size() == 0) && place(request)) {
            return;
        }
        if (m_rule == full_rule::refuse_at_once) {
            refuse(request, fixed_retry_after);
            return;
        }
        const duration elapsed = m_now - request.first_sent;
        const routing::placement_capacity capacity{.places = limit() * m_options.targets,
                                                   .held = sum(at.held),
                                                   .daemons = m_daemons.size()};
        const auto decision =
            at.queue.enqueue({.customer = std::to_string(request.customer),
                              .timing = {.time_left = m_options.timeout - elapsed,
                                         .elapsed = elapsed,
                                         .objective = m_options.objective,
                                         .service_time = m_options.mean_service_time},
                              .wake = [] {}},
                             capacity, m_now, m_random);
        if (decision.id == 0) {
            refuse(request, decision.retry_after);
        } else if (at.queue.first(m_now) == decision.id && place(request)) {
            at.queue.leave(decision.id);
        } else {
            at.waiting[decision.id] = request;
        }
    }
    void refuse(const call& request, duration retry_after) {
        const bool has_time =
            m_now + retry_after - request.first_sent + m_options.mean_service_time <
            m_options.timeout;
        if (!request.is_retry && has_time) {
            m_retries.emplace(m_now + retry_after, call{request.customer, request.first_sent, true,
                                                        m_random.below(m_daemons.size())});
        }
    }
    void serve_waiting() {
        for (daemon& each : m_daemons) {
            std::erase_if(each.waiting, [&](const auto& entry) {
                const bool is_over = !each.queue.contains(entry.first) ||
                                     each.queue.end_of_wait(entry.first) <= m_now;
                if (is_over) {
                    each.queue.leave(entry.first);
                }
                return is_over;
            });
            for (auto next = each.queue.first(m_now);
                 next && each.allowance > 0 &&
                 place(each.waiting.at(*next), each.queue.needs_idle_target(*next, m_now));
                 next = each.queue.first(m_now)) {
                each.queue.leave(*next);
                each.waiting.erase(*next);
                --each.allowance;
            }
        }
    }
    static int sum(const std::vector<int>& counts) {
        int out = 0;
        for (const int each : counts) {
            out += each;
        }
        return out;
    }

    full_targets_options m_options;
    full_rule m_rule;
    random_source m_random;
    std::vector<target> m_targets;
    std::vector<daemon> m_daemons;
    std::multimap<time_point, call> m_retries;
    full_targets_outcome m_outcome;
    time_point m_now = time_point() + std::chrono::hours(1);
    int m_most_held = 0;
};

} // namespace eelgrassdoor::test
