/// \file
/// Tests that member tables converge in whatever order records are merged, and the rules for
/// statuses, gossip and delegates.
#include "check.hpp"
#include "membership/member_table.hpp"

#include <algorithm>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::membership;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

member_record record(const std::string& host, const std::string& zone, std::uint64_t incarnation,
                     std::uint64_t heartbeat) {
    member_record r;
    r.host = host;
    r.availability_zone = zone;
    r.incarnation = incarnation;
    r.heartbeat = heartbeat;
    return r;
}

void check_order() {
    property("merging records in reverse order gives the same table", [] {
        const auto heard = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(1, 4), rc::gen::inRange(1, 9)));
        auto shuffled = heard;
        std::ranges::reverse(shuffled);
        member_table a(record("self", "z", 1, 1), {});
        member_table b(record("self", "z", 1, 1), {});
        const time_point now{};
        for (const auto& [host, incarnation, heartbeat] : heard) {
            a.merge(record(std::to_string(host), "z", incarnation, heartbeat), now);
        }
        for (const auto& [host, incarnation, heartbeat] : shuffled) {
            b.merge(record(std::to_string(host), "z", incarnation, heartbeat), now);
        }
        RC_ASSERT(a.others().size() == b.others().size());
        for (const auto& [host, m] : a.others()) {
            RC_ASSERT(b.find(host) != nullptr && b.find(host)->record == m.record);
        }
    });
}

void check_status() {
    manual_clock clock;
    member_table table(record("self", "z1", 1, 1), {});
    table.replace_host_list({"self", "near", "far"}, {});
    table.merge(record("near", "z1", 1, 1), clock.now());
    table.merge(record("far", "z2", 1, 1), clock.now());
    table.merge(record("unlisted", "z1", 1, 1), clock.now());
    table.update(clock.now());
    require(table.live_in("z1").size() == 3, "daemons heard from recently are live");
    clock.advance(seconds(4));
    table.update(clock.now());
    require(table.find("near")->status == member_status::suspected,
            "a silent daemon on the host list is suspected");
    require(table.find("far")->status == member_status::live,
            "a daemon of another zone is still live after 4 s of silence");
    require(table.find("unlisted")->status == member_status::gone,
            "a silent daemon that is not on the host list is gone");
    member_record leaving = record("near", "z1", 1, 2);
    leaving.leaving = true;
    leaving.revision = 1;
    table.merge(leaving, clock.now());
    table.merge(record("near", "z1", 1, 3), clock.now());
    table.update(clock.now());
    require(table.find("near")->status == member_status::leaving,
            "the status leaving is kept for the same incarnation");
    table.merge(record("near", "z1", 2, 1), clock.now());
    table.update(clock.now());
    require(table.find("near")->status == member_status::live, "a new incarnation is live");
    require(!table.merge(record("near", "z1", 1, 99), clock.now()),
            "a record of an earlier incarnation is ignored");
}

/// A zone of daemons that exchange the records and heartbeats that their tables choose.
class gossiping_zone {
public:
    static constexpr int hosts = 42;

    explicit gossiping_zone(std::uint64_t seed) : m_random(seed) {
        for (int i = 0; i < hosts; ++i) {
            member_record own = record(std::to_string(i), "z", 1, 1);
            own.address = std::to_string(i);
            m_tables.emplace_back(own, options_for(milliseconds(500)));
        }
        for (member_table& t : m_tables) {
            for (const member_table& other : m_tables) {
                t.merge(other.self(), m_clock.now());
            }
            t.update(m_clock.now());
        }
    }

    void round() {
        m_clock.advance(milliseconds(500));
        for (member_table& t : m_tables) {
            t.begin_gossip_round();
            const auto records = t.gossip_records(4, m_clock.now(), m_random);
            const auto heartbeats = t.gossip_heartbeats(48, 16, m_random);
            for (const std::string& peer : t.gossip_peers(2, m_random)) {
                member_table& to = m_tables[std::stoul(peer)];
                for (const member_record& r : records) {
                    to.merge(r, m_clock.now());
                }
                for (const heartbeat_digest& h : heartbeats) {
                    to.merge_heartbeat(h, m_clock.now());
                }
            }
        }
        for (member_table& t : m_tables) {
            t.update(m_clock.now());
        }
    }

    std::vector<member_table>& tables() { return m_tables; }

private:
    random_source m_random;
    manual_clock m_clock;
    std::vector<member_table> m_tables;
};

void check_gossip_spreads() {
    property("in a zone of 42 daemons none is suspected while all gossip", [] {
        gossiping_zone zone(*rc::gen::arbitrary<std::uint64_t>());
        for (int round = 0; round < 40; ++round) {
            zone.round();
            for (const member_table& t : zone.tables()) {
                RC_ASSERT(t.live().size() == gossiping_zone::hosts);
            }
        }
    });
    property("a changed record reaches all daemons of a zone within 16 rounds (8 s)", [] {
        gossiping_zone zone(*rc::gen::arbitrary<std::uint64_t>());
        for (int round = 0; round < 30; ++round) {
            zone.round();
        }
        zone.tables()[7].self().slots = {{1, 9}};
        for (int round = 0; round < 16; ++round) {
            zone.round();
        }
        for (const member_table& t : zone.tables()) {
            const member* m = t.find("7");
            const bool known = m == nullptr || m->record.slots.size() == 1;
            RC_ASSERT(known);
        }
    });
}

void check_delegates() {
    property("a zone has the stated number of delegates when all its tables agree", [] {
        const int hosts = *rc::gen::inRange(1, 12);
        int delegates = 0;
        for (int self = 0; self < hosts; ++self) {
            member_record own = record(std::to_string(self), "z", 1, 1);
            own.platform_reachable = true;
            member_table table(own, {});
            for (int other = 0; other < hosts; ++other) {
                member_record r = record(std::to_string(other), "z", 1, 1);
                r.platform_reachable = true;
                table.merge(r, time_point{});
            }
            table.update(time_point{});
            delegates += table.is_delegate(2) ? 1 : 0;
        }
        RC_ASSERT(delegates == std::min(hosts, 2));
    });
}

} // namespace

int main() {
    check_order();
    check_status();
    check_gossip_spreads();
    check_delegates();
    return eelgrassdoor::test::finish();
}
