/// \file
/// Digests reach all zones through few daemons, also when some of these fail.
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

const auto everybody = [](std::string_view) { return true; };

member daemon_of(const std::string& zone, int number, bool serves_callers = true) {
    return {.host = zone + "-" + std::to_string(number),
            .availability_zone = zone,
            .endpoint = "127.0.0.1:1",
            .serves_callers = serves_callers};
}

member_map fleet_of(int zones, int daemons) {
    member_map out;
    for (int zone = 0; zone < zones; ++zone) {
        for (int i = 0; i < daemons; ++i) {
            const member each = daemon_of("z" + std::to_string(zone), i);
            out[each.host] = each;
        }
    }
    return out;
}

void check_choice() {
    zone_gateways gateways;
    member_map members = fleet_of(2, 4);
    const member runner = daemon_of("z0", 9, false);
    members[runner.host] = runner;
    gateways.set_members(members);
    const std::vector<member> all = gateways.of("z0", everybody);
    require(all.size() == zone_gateways::per_zone, "a zone has two gateways");
    require(all[0].host == runner.host, "daemons that serve no callers go first");
    const std::string lost = all[1].host;
    const auto still = gateways.of("z0", [&](std::string_view host) { return host != lost; });
    require(still.size() == 2 && still[0].host == runner.host && still[1].host != lost,
            "another one takes the place of a silent gateway");
    require(gateways.of("z0", [](std::string_view) { return false; }).empty() &&
                gateways.of("none", everybody).empty(),
            "a zone of which nobody is heard has none");
    std::set<std::string> probed;
    for (std::size_t turn = 0; turn < 5; ++turn) {
        probed.insert(gateways.probe("z0", turn)->host);
    }
    require(probed.size() == 5, "but each of its daemons is tried");
}

void check_shares() {
    property("gateways together send to each one of another zone", [] {
        const auto own = *rc::gen::inRange<std::size_t>(1, 4);
        const auto remote = *rc::gen::inRange<std::size_t>(0, 4);
        std::vector<member> there;
        for (std::size_t i = 0; i < remote; ++i) {
            there.push_back(daemon_of("z", static_cast<int>(i)));
        }
        std::multiset<std::string> reached;
        for (std::size_t i = 0; i < own; ++i) {
            const std::vector<member> share = share_of_gateways(there, i, own);
            RC_ASSERT(there.empty() || !share.empty());
            for (const member& each : share) {
                reached.insert(each.host);
            }
        }
        for (const member& each : there) {
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
    require(one.size() == 1 && collector.empty(), "what was collected goes out once");
    const auto bundle = peer::decode<digest_bundle>(std::string_view(one[0]).substr(2));
    require(bundle && bundle->availability_zone == "z" &&
                bundle->datagrams == std::vector<std::string>{"new"},
            "only the newest digest of a daemon is passed on");
    for (int i = 0; i < 100; ++i) {
        collector.add(std::to_string(i), std::string(300, 'x'));
    }
    std::size_t digests = 0;
    for (const std::string& bytes : collector.take("z")) {
        require(bytes.size() < 2 * bundle_collector::bundle_bytes, "a bundle has a bounded size");
        digests += peer::decode<digest_bundle>(std::string_view(bytes).substr(2))->datagrams.size();
    }
    require(digests == 100, "no digest is left out");
    collector.add("big", std::string(peer::max_text_bytes + 1, 'x'));
    require(collector.empty(), "a digest over the bound of a text is not taken in");
}

/// Daemons whose datagrams arrive at once, but for those of failed ones.
class simulated_fleet {
public:
    simulated_fleet(int zones, int daemons, std::set<std::string> failed, bool failure_is_known)
        : m_members(fleet_of(zones, daemons)), m_failed(std::move(failed)),
          m_failure_is_known(failure_is_known) {
        for (const auto& [host, each] : m_members) {
            m_duties[host] = std::make_unique<gateway_duty>(each, hooks_of(each));
            m_duties[host]->set_members(m_members);
        }
    }

    /// Who knows of a digest that \p host sends within its zone.
    std::set<std::string> spread(const std::string& host) {
        m_known = {host};
        for (const auto& [other, each] : m_members) {
            const bool same_zone = each.availability_zone == m_members.at(host).availability_zone;
            if (same_zone && lives(other)) {
                m_known.insert(other);
                m_duties[other]->collect_outgoing(host, "digest of " + host);
            }
        }
        for (int round = 0; round < 2; ++round) {
            m_now += gateway_duty::interval;
            for (auto& [other, duty] : m_duties) {
                if (lives(other)) {
                    duty->pass_on(m_now);
                }
            }
        }
        return m_known;
    }
    [[nodiscard]] bool lives(std::string_view host) const {
        return !m_failed.contains(std::string(host));
    }
    [[nodiscard]] const member_map& members() const { return m_members; }

private:
    gateway_hooks hooks_of(const member& self) {
        return {.is_heard =
                    [this](std::string_view host) { return !m_failure_is_known || lives(host); },
                .send =
                    [this](const member& to, std::string_view datagram) {
                        if (lives(to.host)) {
                            m_known.insert(to.host);
                            m_duties[to.host]->collect_incoming("digest", datagram);
                        }
                    },
                .send_to_own_zone =
                    [this, zone = self.availability_zone](std::string_view) {
                        for (const auto& [host, each] : m_members) {
                            if (each.availability_zone == zone && lives(host)) {
                                m_known.insert(host);
                            }
                        }
                    }};
    }

    member_map m_members;
    std::set<std::string> m_failed;
    bool m_failure_is_known;
    std::map<std::string, std::unique_ptr<gateway_duty>> m_duties;
    std::set<std::string> m_known;
    time_point m_now{};
};

void check_spreading() {
    property("a digest reaches every daemon that lives, however many have failed", [] {
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
            if (!fleet.lives(host)) {
                continue;
            }
            const std::set<std::string> known = fleet.spread(host);
            for (const auto& [other, record] : fleet.members()) {
                RC_ASSERT(!fleet.lives(other) || known.contains(other));
            }
        }
    });
    zone_gateways gateways;
    gateways.set_members(fleet_of(3, 5));
    for (const char* zone : {"z0", "z1"}) {
        const std::string lost = gateways.of(zone, everybody)[0].host;
        simulated_fleet fleet(3, 5, {lost}, false);
        for (const auto& [host, each] : fleet.members()) {
            if (fleet.lives(host)) {
                require(fleet.spread(host).size() == 14,
                        "a gateway that has just failed leaves the other path of " + host);
            }
        }
    }
}

} // namespace

int main() {
    check_choice();
    check_shares();
    check_bundles();
    check_spreading();
    return eelgrassdoor::test::finish();
}
