/// \file
/// Tests the permits for targets that limit their requests, on a model of a fleet whose daemons
/// have uneven traffic, die and are cut off from each other.
#include "routing/permit_issuer.hpp"

#include "base/random_source.hpp"
#include "check.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::routing;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

constexpr duration step = milliseconds(10);
constexpr duration window = seconds(4);
constexpr int hosts = 8;
constexpr int zones = 4;

std::string host_name(int host) {
    return "host-" + std::to_string(host);
}
std::string zone_name(int host) {
    return "zone-" + std::to_string(host % zones);
}

/// A fleet in which each daemon has its own view of the others.
class fleet_model {
public:
    explicit fleet_model(double limit) : m_limit(limit), m_issuers(hosts) { update_views(); }

    /// Whether a datagram from one host arrives at another; hears() with equal arguments tells
    /// whether the host runs.
    std::function<bool(int from, int to)> hears = [](int, int) { return true; };

    void update_views() {
        for (int own = 0; own < hosts; ++own) {
            std::vector<issuing_daemon> daemons;
            for (int other = 0; other < hosts; ++other) {
                daemons.push_back({host_name(other), zone_name(other), hears(other, own)});
            }
            m_issuers[static_cast<std::size_t>(own)].set_daemons(std::move(daemons), host_name(own),
                                                                 m_now);
        }
    }
    /// Sends a request from \p host if it gets a permit.
    void send(int host, work_kind kind = work_kind::online) {
        const limited_target target{"target", "zone-0", m_limit};
        const auto own = static_cast<std::size_t>(host);
        const std::string issuer(m_issuers[own].issuer_of(target));
        for (int other = 0; other < hosts; ++other) {
            const bool reachable = hears(host, other) && hears(other, host);
            if (issuer == host_name(other) && reachable &&
                m_issuers[static_cast<std::size_t>(other)].take(target, kind, m_now).granted) {
                m_sent.push_back(m_now);
                ++m_by_host[host];
                ++m_by_kind[kind];
            }
        }
    }
    void advance() {
        m_now += step;
        // Daemons determine the issuers a few times a second.
        if ((m_now - time_point{}) % milliseconds(250) == duration::zero()) {
            update_views();
        }
    }
    [[nodiscard]] std::size_t most_in_window() const {
        std::size_t most = 0;
        for (auto first = m_sent.begin(); first != m_sent.end(); ++first) {
            const auto end = std::lower_bound(first, m_sent.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
    [[nodiscard]] std::size_t sent() const { return m_sent.size(); }
    [[nodiscard]] int sent_by(int host) { return m_by_host[host]; }
    [[nodiscard]] int sent_of(work_kind kind) { return m_by_kind[kind]; }

private:
    double m_limit;
    time_point m_now = time_point{} + seconds(100);
    std::vector<permit_issuer> m_issuers;
    std::vector<time_point> m_sent;
    std::map<int, int> m_by_host;
    std::map<work_kind, int> m_by_kind;
};

/// The users' bound over four seconds.
double bound(double limit) {
    return 1.5 * limit * to_seconds(window) + 5;
}

/// Steps in \p seconds.
int steps(double seconds) {
    return static_cast<int>(seconds * 100);
}

void check_whole_limit_is_used() {
    fleet_model fleet(3);
    for (int i = 0; i < steps(20); ++i) {
        // One daemon has nearly all the traffic.
        fleet.send(i % 50 == 0 ? 1 : 5);
        fleet.advance();
    }
    require(fleet.sent() >= 55 && fleet.sent() <= 62,
            "a daemon with most of the traffic gets the limit that the others leave; sent " +
                std::to_string(fleet.sent()) + " of 60");
    require(static_cast<double>(fleet.most_in_window()) <= bound(3), "the limit is kept");
}

/// Sends 2.5 online requests per second to a target that takes three.
void send_online_and(fleet_model& fleet, bool with_batch) {
    for (int i = 0; i < steps(20); ++i) {
        if (with_batch) {
            fleet.send(2, work_kind::batch);
        }
        if (i % 40 == 20) {
            fleet.send(5);
        }
        fleet.advance();
    }
}

void check_batch_leaves_permits() {
    fleet_model alone(3);
    send_online_and(alone, false);
    fleet_model mixed(3);
    send_online_and(mixed, true);
    const int without_batch = alone.sent_of(work_kind::online);
    const int with_batch = mixed.sent_of(work_kind::online);
    // The first three come before the new issuer's bucket holds a permit.
    require(with_batch == without_batch && with_batch >= 50 - 3,
            "online requests get the same permits beside batch work; " +
                std::to_string(with_batch) + " instead of " + std::to_string(without_batch));
    require(mixed.sent_of(work_kind::batch) >= 3, "batch work gets what online requests leave");
}

void check_zero_limit() {
    fleet_model fleet(0);
    for (int i = 0; i < steps(20); ++i) {
        fleet.send(i % hosts);
        fleet.advance();
    }
    require(fleet.sent() >= 2 && fleet.sent() <= 6,
            "a target with a limit of 0 gets a request now and then, which shows when it ends");
}

void check_dead_issuers() {
    fleet_model fleet(3);
    bool zone_is_dead = false;
    fleet.hears = [&](int from, int to) {
        return !zone_is_dead || (from % zones != 0 && to % zones != 0);
    };
    for (int i = 0; i < steps(20); ++i) {
        zone_is_dead = i >= steps(10);
        fleet.send(5);
        fleet.advance();
    }
    require(fleet.sent() >= 40,
            "daemons of other zones issue permits when those of the target's zone are dead; sent " +
                std::to_string(fleet.sent()));
    require(static_cast<double>(fleet.most_in_window()) <= bound(3),
            "the limit is kept when the issuer changes");
}

void check_limit_under_faults() {
    property("requests keep to the limit while daemons die and are cut off from each other", [] {
        const double limit = *rc::gen::element(0.5, 1.0, 2.7, 8.0, 40.0);
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        random_source random(seed);
        fleet_model fleet(limit);
        std::vector<bool> dead(hosts, false);
        std::vector<int> side(hosts, 0);
        fleet.hears = [&](int from, int to) {
            const auto a = static_cast<std::size_t>(from);
            const auto b = static_cast<std::size_t>(to);
            return !dead[a] && !dead[b] && side[a] == side[b];
        };
        for (int i = 0; i < steps(20); ++i) {
            if (i % 100 == 0) {
                const auto host = static_cast<std::size_t>(random.uniform() * hosts);
                dead[host] = random.uniform() < 0.3;
                side[host] = random.uniform() < 0.3 ? 1 : 0;
            }
            for (int host = 0; host < hosts; ++host) {
                if (random.uniform() < 0.5) {
                    fleet.send(host);
                }
            }
            fleet.advance();
        }
        RC_ASSERT(static_cast<double>(fleet.most_in_window()) <= bound(limit));
    });
}

} // namespace

int main() {
    check_whole_limit_is_used();
    check_batch_leaves_permits();
    check_zero_limit();
    check_dead_issuers();
    check_limit_under_faults();
    return eelgrassdoor::test::finish();
}
