/// \file
/// Tests that digests reach all zones through a few gateways, also when some daemons fail.
#include "check.hpp"
#include "fleet/digest_gateway.hpp"
#include "peer/codec.hpp"

#include <memory>
#include <set>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::fleet;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

const auto all_heard = [](std::string_view) { return true; };

member make_member(const std::string& zone, int number, bool serves_callers = true) {
    return {.host = zone + "-" + std::to_string(number),
            .availability_zone = zone,
            .endpoint = "127.0.0.1:1",
            .serves_callers = serves_callers};
}

member_map fleet_of(int zones, int daemons) {
    member_map out;
    for (int zone = 0; zone < zones; ++zone) {
        for (int i = 0; i < daemons; ++i) {
            const member each = make_member("z" + std::to_string(zone), i);
            out[each.host] = each;
        }
    }
    return out;
}

void check_ranking() {
    zone_gateways gateways;
    member_map members = fleet_of(2, 4);
    const member runner = make_member("z0", 9, false);
    members[runner.host] = runner;
    gateways.set_members(members);
    const std::vector<member> all = gateways.gateways_of("z0", all_heard);
    require(all.size() == zone_gateways::gateways_per_zone,
            "a zone has gateways_per_zone gateways");
    require(all[0].host == runner.host, "daemons that do not serve callers rank first");
    const std::string failed_host = all[1].host;
    const auto remaining =
        gateways.gateways_of("z0", [&](std::string_view host) { return host != failed_host; });
    require(remaining.size() == 2 && remaining[0].host == runner.host &&
                remaining[1].host != failed_host,
            "a silent gateway is replaced by another daemon of its zone");
    require(gateways.gateways_of("z0", [](std::string_view) { return false; }).empty() &&
                gateways.gateways_of("none", all_heard).empty(),
            "a zone without heard daemons has no gateways");
    std::set<std::string> probed;
    for (std::size_t attempt = 0; attempt < 5; ++attempt) {
        probed.insert(gateways.probe_candidate("z0", attempt)->host);
    }
    require(probed.size() == 5, "probes rotate through all daemons of a zone");
}

void check_assignment() {
    property("the shares of all local gateways cover every remote gateway", [] {
        const auto own = *rc::gen::inRange<std::size_t>(1, 4);
        const auto remote = *rc::gen::inRange<std::size_t>(0, 4);
        std::vector<member> remote_gateways;
        for (std::size_t i = 0; i < remote; ++i) {
            remote_gateways.push_back(make_member("z", static_cast<int>(i)));
        }
        std::multiset<std::string> reached;
        for (std::size_t i = 0; i < own; ++i) {
            const std::vector<member> share = assigned_gateways(remote_gateways, i, own);
            RC_ASSERT(remote_gateways.empty() || !share.empty());
            for (const member& each : share) {
                reached.insert(each.host);
            }
        }
        for (const member& each : remote_gateways) {
            RC_ASSERT(reached.count(each.host) >= 1);
        }
        RC_ASSERT(reached.size() <= std::max(own, remote));
    });
}

void check_bundles() {
    bundle_collector collector;
    collector.add("a", "old");
    collector.add("a", "new");
    const std::vector<std::string> one = collector.take("z");
    require(one.size() == 1 && collector.empty(),
            "take() returns the collected digests once and clears them");
    const auto bundle = peer::decode<digest_bundle>(std::string_view(one[0]).substr(2));
    require(bundle && bundle->availability_zone == "z" &&
                bundle->datagrams == std::vector<std::string>{"new"},
            "a bundle contains only the newest digest of a daemon");
    for (int i = 0; i < 100; ++i) {
        collector.add(std::to_string(i), std::string(300, 'x'));
    }
    std::size_t digests = 0;
    for (const std::string& bytes : collector.take("z")) {
        require(bytes.size() < 2 * bundle_collector::max_bundle_bytes,
                "the size of an encoded bundle is below twice max_bundle_bytes");
        digests += peer::decode<digest_bundle>(std::string_view(bytes).substr(2))->datagrams.size();
    }
    require(digests == 100, "the bundles contain all collected digests");
    collector.add("big", std::string(peer::max_string_bytes + 1, 'x'));
    require(collector.empty(), "a digest larger than peer::max_string_bytes is ignored");
}

/// Simulates a fleet in which datagrams arrive immediately, except at failed daemons. The others
/// consider failed daemons as heard unless \p failure_is_known.
class simulated_fleet {
public:
    simulated_fleet(int zones, int daemons, std::set<std::string> failed, bool failure_is_known)
        : m_members(fleet_of(zones, daemons)), m_failed(std::move(failed)),
          m_failure_is_known(failure_is_known) {
        for (const auto& [host, each] : m_members) {
            m_gateways[host] = std::make_unique<digest_gateway>(each, hooks_of(each));
            m_gateways[host]->set_members(m_members);
        }
    }

    /// Sends a digest from \p host within its zone and returns the hosts that it reaches after two
    /// rounds of forwarding.
    std::set<std::string> broadcast(const std::string& host) {
        m_reached = {host};
        for (const auto& [other, each] : m_members) {
            const bool same_zone = each.availability_zone == m_members.at(host).availability_zone;
            if (same_zone && is_alive(other)) {
                m_reached.insert(other);
                m_gateways[other]->collect_outgoing(host, "digest of " + host);
            }
        }
        for (int round = 0; round < 2; ++round) {
            m_now += digest_gateway::interval;
            for (auto& [other, gateway] : m_gateways) {
                if (is_alive(other)) {
                    gateway->forward(m_now);
                }
            }
        }
        return m_reached;
    }
    [[nodiscard]] bool is_alive(std::string_view host) const {
        return !m_failed.contains(std::string(host));
    }
    [[nodiscard]] const member_map& members() const { return m_members; }

private:
    gateway_hooks hooks_of(const member& self) {
        return {.is_heard =
                    [this](std::string_view host) { return !m_failure_is_known || is_alive(host); },
                .send =
                    [this](const member& to, std::string_view datagram) {
                        if (is_alive(to.host)) {
                            m_reached.insert(to.host);
                            m_gateways[to.host]->collect_incoming("digest", datagram);
                        }
                    },
                .send_to_own_zone =
                    [this, zone = self.availability_zone](std::string_view) {
                        for (const auto& [host, each] : m_members) {
                            if (each.availability_zone == zone && is_alive(host)) {
                                m_reached.insert(host);
                            }
                        }
                    }};
    }

    member_map m_members;
    std::set<std::string> m_failed;
    bool m_failure_is_known;
    std::map<std::string, std::unique_ptr<digest_gateway>> m_gateways;
    std::set<std::string> m_reached;
    time_point m_now{};
};

void check_forwarding() {
    property("a digest reaches every live daemon, regardless of how many have failed", [] {
        const int zones = *rc::gen::inRange(2, 5);
        const int daemons = *rc::gen::inRange(2, 6);
        std::set<std::string> failed;
        for (const auto& [host, each] : fleet_of(zones, daemons)) {
            if (*rc::gen::inRange(0, 3) == 0) {
                failed.insert(host);
            }
        }
        simulated_fleet fleet(zones, daemons, failed, true);
        for (const auto& [host, each] : fleet.members()) {
            if (!fleet.is_alive(host)) {
                continue;
            }
            const std::set<std::string> reached = fleet.broadcast(host);
            for (const auto& [other, record] : fleet.members()) {
                RC_ASSERT(!fleet.is_alive(other) || reached.contains(other));
            }
        }
    });
    zone_gateways gateways;
    gateways.set_members(fleet_of(3, 5));
    for (const char* zone : {"z0", "z1"}) {
        const std::string failed_host = gateways.gateways_of(zone, all_heard)[0].host;
        simulated_fleet fleet(3, 5, {failed_host}, false);
        for (const auto& [host, each] : fleet.members()) {
            if (fleet.is_alive(host)) {
                require(fleet.broadcast(host).size() == 14,
                        "an unnoticed gateway failure leaves all live daemons reachable from " +
                            host);
            }
        }
    }
}

} // namespace

int main() {
    check_ranking();
    check_assignment();
    check_bundles();
    check_forwarding();
    return eelgrassdoor::test::finish();
}
