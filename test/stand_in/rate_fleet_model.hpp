/// \file
/// Defines a model of a fleet that admits one customer's requests while daemons are killed, frozen
/// and cut off and datagrams are lost.
#pragma once

#include "base/random_source.hpp"
#include "limits/customer_shares.hpp"
#include "limits/token_holders.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

using namespace limits;

/// A flood of requests at all daemons. Every daemon finds by itself, from the digests that reach
/// it, which daemons hold the tokens.
class rate_fleet_model {
public:
    /// The customer's limit: 20 tokens/s and a burst of 10.
    static constexpr double rate = 20;
    static constexpr double burst = 10;

    rate_fleet_model(std::size_t daemons, std::uint64_t seed) : m_random(seed) {
        for (std::size_t i = 0; i < daemons; ++i) {
            m_daemons.emplace_back("host-" + std::to_string(i), "zone-" + std::to_string(i % 3));
            m_daemons.back().phase = milliseconds(static_cast<int>(m_random.uniform() * 250));
        }
        for (daemon& each : m_daemons) {
            each.shares.emplace(true);
            for (const daemon& other : m_daemons) {
                each.heard_at[other.host] = m_now;
            }
            update(each);
        }
    }

    /// Sends requests for \p length.
    void run(duration length) {
        const time_point end = m_now + length;
        while (m_now < end) {
            m_now += step;
            for (daemon& each : m_daemons) {
                tick(each);
            }
            for (int i = 0; i < requests_per_step; ++i) {
                request(m_daemons[random_index()]);
            }
        }
    }

    /// Kills a random daemon, which starts again at once and knows nothing.
    void kill_one() {
        daemon& each = m_daemons[random_index()];
        each.shares.emplace(false);
        each.heard_at.clear();
        each.is_frozen = false;
        update(each);
    }
    /// Stops a random daemon or lets it run again.
    void freeze_or_wake_one() {
        daemon& each = m_daemons[random_index()];
        each.is_frozen = !each.is_frozen;
    }
    /// Cuts the fleet into two random sides that do not reach each other.
    void partition() {
        for (daemon& each : m_daemons) {
            each.side = m_random.uniform() < 0.5 ? 0 : 1;
        }
    }
    void heal() {
        for (daemon& each : m_daemons) {
            each.side = 0;
        }
    }

    /// When each request was admitted.
    [[nodiscard]] const std::vector<time_point>& admitted() const { return m_admitted; }
    /// The largest excess over rate * t + burst in any time span t, in tokens; negative or zero
    /// when the limit is kept.
    [[nodiscard]] double worst_excess() const {
        double worst = -burst;
        for (std::size_t first = 0; first < m_admitted.size(); ++first) {
            for (std::size_t last = first; last < m_admitted.size(); ++last) {
                const double span = to_seconds(m_admitted[last] - m_admitted[first]);
                worst =
                    std::max(worst, static_cast<double>(last - first + 1) - rate * span - burst);
            }
        }
        return worst;
    }

private:
    static constexpr duration step = milliseconds(10);
    static constexpr duration digest_interval = milliseconds(500);
    static constexpr duration update_interval = milliseconds(250);
    static constexpr duration silence_timeout = milliseconds(1000);
    static constexpr int requests_per_step = 2;
    static constexpr double loss = 0.05;

    struct daemon {
        daemon(std::string name, std::string zone)
            : host(std::move(name)), availability_zone(std::move(zone)) {}
        std::string host;
        std::string availability_zone;
        std::optional<customer_shares> shares;
        token_holders holders;
        std::map<std::string, time_point> heard_at;
        bool is_frozen = false;
        int side = 0;
        duration phase{};
        time_point updated_at{};
        time_point digest_at{};
    };

    std::size_t random_index() {
        return static_cast<std::size_t>(m_random.uniform() *
                                        static_cast<double>(m_daemons.size())) %
               m_daemons.size();
    }
    [[nodiscard]] static bool reaches(const daemon& from, const daemon& to) {
        return from.side == to.side && !from.is_frozen && !to.is_frozen;
    }
    daemon& find(const std::string& host) {
        return *std::find_if(m_daemons.begin(), m_daemons.end(),
                             [&](const daemon& each) { return each.host == host; });
    }

    void update(daemon& each) {
        std::vector<frontend_host> frontends;
        for (const daemon& other : m_daemons) {
            const auto heard = each.heard_at.find(other.host);
            const bool is_heard =
                other.host == each.host ||
                (heard != each.heard_at.end() && m_now - heard->second <= silence_timeout);
            frontends.push_back({other.host, other.availability_zone, is_heard});
        }
        each.holders.set_frontends(std::move(frontends));
        each.shares->configure(
            {{"c", {rate, burst}}},
            [&](std::string_view customer) { return each.holders.share_of(customer, each.host); },
            m_now);
        each.updated_at = m_now;
    }

    void tick(daemon& each) {
        if (each.is_frozen) {
            return;
        }
        if (m_now - each.digest_at >= digest_interval + each.phase / 4) {
            each.digest_at = m_now;
            for (daemon& other : m_daemons) {
                if (reaches(each, other) && m_random.uniform() >= loss) {
                    other.heard_at[each.host] = m_now;
                }
            }
        }
        // A daemon that has just woken up determines the holders before it does anything else.
        if (m_now - each.updated_at >= update_interval) {
            update(each);
        }
    }

    void request(daemon& at) {
        if (at.is_frozen) {
            return;
        }
        for (const std::string& host : at.holders.holders_of("c")) {
            daemon& holder = find(host);
            const bool is_own = host == at.host;
            if (!is_own && (!reaches(at, holder) || m_random.uniform() < loss)) {
                continue;
            }
            if (holder.shares->holds("c")) {
                admit_at(holder);
                return;
            }
        }
    }

    void admit_at(daemon& holder) {
        if (!holder.shares->try_take("c", m_now)) {
            borrow(holder);
            if (!holder.shares->try_take("c", m_now)) {
                return;
            }
        }
        m_admitted.push_back(m_now);
    }

    void borrow(daemon& holder) {
        if (!holder.shares->try_begin_borrow("c", m_now)) {
            return;
        }
        const double amount = holder.shares->borrow_amount("c");
        for (const std::string& host : holder.holders.holders_of("c")) {
            daemon& lender = find(host);
            if (host == holder.host || !reaches(holder, lender)) {
                continue;
            }
            const double lent = lender.shares->lend("c", amount, m_now);
            if (m_random.uniform() >= loss) {
                holder.shares->receive("c", lent, m_now);
            }
        }
    }

    random_source m_random;
    time_point m_now = time_point() + seconds(100);
    std::vector<daemon> m_daemons;
    std::vector<time_point> m_admitted;
};

} // namespace eelgrassdoor::test
