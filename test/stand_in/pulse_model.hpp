/// \file
/// Defines a model of one customer's requests, sent to eight daemons in
/// pulses above the rate. They take their tokens from the customer's primary holder.
#pragma once

#include "base/random_source.hpp"
#include "limits/customer_shares.hpp"
#include "limits/token_holders.hpp"
#include "limits/token_wait_queue.hpp"
#include "routing/wait_rules.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>
#include <vector>

namespace eelgrassdoor::test {

using namespace limits;

/// The primary and the secondary holder of the customer's tokens.
inline constexpr std::size_t holders = 2;
/// The part of the requests to which the primary does not answer in time.
inline constexpr double unanswered_fraction = 0.02;
/// The interval at which waiting requests are examined.
inline constexpr duration step = milliseconds(5);
/// The timeout of the route.
inline constexpr duration timeout = seconds(5);
/// The latency objective of the route.
inline constexpr duration objective = milliseconds(300);
inline constexpr duration service_time = milliseconds(800);
/// Callers retry at the latest after their remaining time divided by this.
inline constexpr int retry_time_divisor = 3;

/// A caller's attempt to be served by one daemon.
struct attempt {
    /// The holder that gives the token: 0 for the primary, 1 for the secondary.
    std::size_t holder = 0;
    time_point first_sent;
    time_point sent;
    /// 1 for the first attempt, 2 for the retry.
    int number = 1;
    std::shared_ptr<token_waiter> waiter;
    /// Whether routing::decide_wait() has decided that the request waits.
    bool decided = false;
};

/// Counts of requests: `in_time` are those served within half of the objective after they were last
/// sent, `lost` those rejected twice or still unserved at the end.
struct outcome {
    int served = 0;
    int in_time = 0;
    int lost = 0;
};

/// Sends requests for 24 s, with 2.4 s of each 6 s at about five times the rate of the rest. The
/// customer has a rate of 22 tokens/s and a burst of 22.
class pulse_model {
public:
    /// \p waits: whether requests may wait for a token; otherwise they are rejected instead.
    explicit pulse_model(bool waits) : m_waits(waits), m_queues(holders) {
        for (std::size_t i = 0; i < holders; ++i) {
            m_shares.emplace_back(true);
            const double share =
                i == 0 ? 1 - token_holders::secondary_share : token_holders::secondary_share;
            m_shares.back().configure(
                {{"c", {22, 22}}}, [share](std::string_view /*customer*/) { return share; }, m_now);
        }
    }

    /// Runs the model with a mean load of \p mean_per_second requests.
    outcome run(double mean_per_second) {
        const time_point start = m_now;
        double due = 0;
        while (m_now - start < seconds(24)) {
            const double phase = std::fmod(to_seconds(m_now - start), 6.0);
            const double rate = mean_per_second * (phase >= 3.6 ? 1.91 : 0.391);
            due += rate * to_seconds(step);
            for (; due >= 1; due -= 1) {
                arrive({.first_sent = m_now});
            }
            advance();
        }
        for (int i = 0; i < 2000; ++i) {
            advance();
        }
        m_outcome.lost += static_cast<int>(m_waiting.size() + m_retrying.size());
        return m_outcome;
    }

private:
    void arrive(attempt each) {
        each.holder = m_random.uniform() < unanswered_fraction ? 1 : 0;
        each.sent = m_now;
        token_wait_queue& queue = m_queues[each.holder];
        if (!queue.has_on_time() && m_shares[each.holder].try_take("c", m_now)) {
            serve(each);
            return;
        }
        each.waiter = std::make_shared<token_waiter>();
        each.waiter->wait_deadline = m_now + milliseconds(25);
        each.waiter->on_time_deadline = m_now + routing::max_wait_within_objective(objective);
        queue.enqueue(each.waiter);
        m_waiting.push_back(each);
    }

    void serve(const attempt& each) {
        ++m_outcome.served;
        m_outcome.in_time += m_now - each.sent < objective / 2 ? 1 : 0;
    }

    void reject(attempt each, duration retry_after) {
        const duration left = timeout - (m_now - each.first_sent);
        if (each.number == 2) {
            ++m_outcome.lost;
            return;
        }
        each.number = 2;
        each.decided = false;
        m_retrying.emplace_back(m_now + std::min(retry_after, left / retry_time_divisor), each);
    }

    /// Serves or rejects a waiting attempt if it is its turn; returns whether the attempt has
    /// ended.
    bool handle(attempt& each) {
        token_wait_queue& queue = m_queues[each.holder];
        customer_shares& shares = m_shares[each.holder];
        if (queue.first() == each.waiter && shares.try_begin_borrow("c", m_now)) {
            borrow(each.holder);
        }
        if (queue.first() == each.waiter && shares.try_take("c", m_now)) {
            queue.remove(each.waiter);
            serve(each);
            return true;
        }
        if (m_now < each.waiter->wait_deadline) {
            return false;
        }
        const duration passed = m_now - each.first_sent;
        const duration predicted = shares.predict_wait("c", queue.ahead_of(each.waiter), m_now);
        const routing::wait_decision decision =
            routing::decide_wait({timeout - passed, passed, objective, service_time}, predicted);
        if (!m_waits || each.decided || !decision.should_wait) {
            const duration own = shares.time_to_next_token("c", m_now);
            queue.remove(each.waiter);
            reject(each, m_waits ? shares.reserve_retry_after("c", predicted, m_now) : own);
            return true;
        }
        each.decided = true;
        queue.extend_wait(each.waiter, m_now + decision.max_wait);
        return false;
    }

    /// Borrows tokens for holder \p at from all others.
    void borrow(std::size_t at) {
        const double want = m_shares[at].borrow_amount("c");
        for (std::size_t i = 0; i < holders; ++i) {
            if (i != at) {
                m_shares[at].receive("c", m_shares[i].lend("c", want, m_now), m_now);
            }
        }
    }

    void advance() {
        m_now += step;
        std::vector<attempt> due_retries;
        std::erase_if(m_retrying, [&](const auto& each) {
            if (each.first <= m_now) {
                due_retries.push_back(each.second);
            }
            return each.first <= m_now;
        });
        for (const attempt& each : due_retries) {
            arrive(each);
        }
        for (token_wait_queue& queue : m_queues) {
            queue.demote_late(m_now);
        }
        std::vector<attempt> still_waiting;
        for (attempt& each : m_waiting) {
            if (!handle(each)) {
                still_waiting.push_back(each);
            }
        }
        m_waiting = std::move(still_waiting);
    }

    const bool m_waits;
    random_source m_random{7};
    time_point m_now = time_point() + seconds(100);
    std::vector<customer_shares> m_shares;
    std::vector<token_wait_queue> m_queues;
    std::vector<attempt> m_waiting;
    std::vector<std::pair<time_point, attempt>> m_retrying;
    outcome m_outcome;
};

} // namespace eelgrassdoor::test
