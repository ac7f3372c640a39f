/// \file
/// Defines a model of callers of one customer, who come in pulses above its rate to eight daemons.
#pragma once

#include "base/random_source.hpp"
#include "limits/customer_shares.hpp"
#include "limits/token_wait_queue.hpp"
#include "routing/wait_rules.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>
#include <vector>

namespace eelgrassdoor::test {

using namespace limits;

inline constexpr std::size_t daemons = 8;
inline constexpr duration step = milliseconds(5);
inline constexpr duration timeout = seconds(5);
inline constexpr duration objective = milliseconds(300);
inline constexpr duration service_time = milliseconds(800);
/// Callers come back at the latest after this part of the time that they have left.
inline constexpr int part_before_return = 3;

/// A caller's attempt at one daemon.
struct attempt {
    std::size_t daemon = 0;
    time_point first_sent;
    time_point sent;
    int number = 1;
    std::shared_ptr<token_waiter> waiter;
    bool decided = false;
};

struct outcome {
    int served = 0;
    int in_time = 0;
    int lost = 0;
};

/// The pattern: 2.4 s of each 6 s with five times as many requests as between, at a rate of 22.
class pulses {
public:
    /// \p waits: whether requests wait at all.
    explicit pulses(bool waits) : m_waits(waits), m_lines(daemons) {
        for (std::size_t i = 0; i < daemons; ++i) {
            m_shares.emplace_back(true);
            m_shares.back().configure({{"c", {22, 22}}}, daemons, m_now);
        }
    }

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
        m_outcome.lost += static_cast<int>(m_waiting.size() + m_returning.size());
        return m_outcome;
    }

private:
    void arrive(attempt each) {
        each.daemon = static_cast<std::size_t>(m_random.unit() * daemons) % daemons;
        each.sent = m_now;
        token_line& line = m_lines[each.daemon];
        if (!line.any_in_time() && m_shares[each.daemon].try_take("c", m_now)) {
            serve(each);
            return;
        }
        each.waiter = std::make_shared<token_waiter>();
        each.waiter->until = m_now + milliseconds(25);
        each.waiter->late_at = m_now + routing::longest_wait_in_time(objective);
        line.join(each.waiter);
        m_waiting.push_back(each);
    }

    void serve(const attempt& each) {
        ++m_outcome.served;
        m_outcome.in_time += m_now - each.sent < objective / 2 ? 1 : 0;
    }

    void send_away(attempt each, duration retry_after) {
        const duration left = timeout - (m_now - each.first_sent);
        if (each.number == 2) {
            ++m_outcome.lost;
            return;
        }
        each.number = 2;
        each.decided = false;
        m_returning.emplace_back(m_now + std::min(retry_after, left / part_before_return), each);
    }

    /// Whether the attempt has ended.
    bool handle(attempt& each) {
        token_line& line = m_lines[each.daemon];
        customer_shares& shares = m_shares[each.daemon];
        if (line.first() == each.waiter && shares.may_ask("c", m_now)) {
            ask(each.daemon);
        }
        if (line.first() == each.waiter && shares.try_take("c", m_now)) {
            line.remove(each.waiter);
            serve(each);
            return true;
        }
        if (m_now < each.waiter->until) {
            return false;
        }
        const duration passed = m_now - each.first_sent;
        const duration predicted = shares.predict("c", line.ahead_of(each.waiter), m_now);
        const routing::wait_decision decision =
            routing::decide_wait({timeout - passed, passed, objective, service_time}, predicted);
        if (!m_waits || each.decided || !decision.waits) {
            const duration own = shares.until_next("c", m_now);
            line.remove(each.waiter);
            send_away(each, m_waits ? shares.promise_return("c", predicted, m_now) : own);
            return true;
        }
        each.decided = true;
        line.keep_until(each.waiter, m_now + decision.at_most);
        return false;
    }

    void ask(std::size_t at) {
        const double want = m_shares[at].tokens_to_ask("c");
        for (std::size_t i = 0; i < daemons; ++i) {
            if (i != at) {
                m_shares[at].receive("c", m_shares[i].lend("c", want, m_now), m_now);
            }
        }
    }

    void advance() {
        m_now += step;
        std::vector<attempt> back;
        std::erase_if(m_returning, [&](const auto& each) {
            if (each.first <= m_now) {
                back.push_back(each.second);
            }
            return each.first <= m_now;
        });
        for (const attempt& each : back) {
            arrive(each);
        }
        for (token_line& line : m_lines) {
            line.note_time(m_now);
        }
        std::vector<attempt> still;
        for (attempt& each : m_waiting) {
            if (!handle(each)) {
                still.push_back(each);
            }
        }
        m_waiting = std::move(still);
    }

    const bool m_waits;
    time_point m_now = time_point() + seconds(100);
    random_source m_random{7};
    std::vector<customer_shares> m_shares;
    std::vector<token_line> m_lines;
    std::vector<attempt> m_waiting;
    std::vector<std::pair<time_point, attempt>> m_returning;
    outcome m_outcome;
};

} // namespace eelgrassdoor::test
