/// \file
/// Tests which daemons hold a customer's tokens and which part of its rate each has.
#include "limits/token_holders.hpp"

#include "check.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::limits;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

std::vector<frontend_host> fleet_of(std::size_t zones, std::size_t per_zone) {
    std::vector<frontend_host> out;
    for (std::size_t i = 0; i < zones * per_zone; ++i) {
        out.push_back({"host-" + std::to_string(i), "zone-" + std::to_string(i % zones), true});
    }
    return out;
}

std::string zone_of(const std::vector<frontend_host>& frontends, const std::string& host) {
    const auto found = std::find_if(frontends.begin(), frontends.end(),
                                    [&](const auto& each) { return each.host == host; });
    return found == frontends.end() ? std::string() : found->availability_zone;
}

void check_choice() {
    std::vector<frontend_host> frontends = fleet_of(4, 15);
    token_holders holders;
    require(holders.set_frontends(frontends) && !holders.set_frontends(frontends),
            "a change of the daemons is reported");
    std::set<std::string> primaries;
    int moved = 0;
    for (int i = 0; i < 200; ++i) {
        const std::string customer = "customer-" + std::to_string(i);
        holders.set_frontends(frontends);
        const std::vector<std::string> before = holders.holders_of(customer);
        require(before.size() == 2 &&
                    zone_of(frontends, before[0]) != zone_of(frontends, before[1]),
                "the two holders are in different zones");
        primaries.insert(before[0]);
        require(holders.share_of(customer, before[0]) == 1 - token_holders::secondary_share &&
                    holders.share_of(customer, before[1]) == token_holders::secondary_share &&
                    holders.share_of(customer, "none") == 0,
                "the two holders have the whole rate");
        std::vector<frontend_host> without = frontends;
        without[i % without.size()].is_heard = false;
        holders.set_frontends(without);
        moved += holders.holders_of(customer) != before ? 1 : 0;
        require(holders.holders_of(customer) == before ||
                    std::count(before.begin(), before.end(), without[i % without.size()].host) > 0,
                "only tokens that a silent daemon held move");
    }
    require(primaries.size() > 40, "the customers are spread over the daemons");
    require(moved < 20, "few holders change when a daemon falls silent");
}

void check_small_fleets() {
    token_holders holders;
    require(holders.holders_of("c").empty() && holders.share_of("c", "h") == 0,
            "without daemons there is no holder");
    holders.set_frontends({{"h", "z", true}});
    require(holders.share_of("c", "h") == 1, "a single daemon has the whole rate");
    holders.set_frontends({{"h", "z", true}, {"i", "z", true}});
    require(holders.share_of("c", "h") + holders.share_of("c", "i") == 1,
            "two daemons of one zone are primary and secondary");
    holders.set_frontends({{"h", "z", true}, {"i", "y", false}});
    require(holders.share_of("c", "h") == 0.5,
            "a daemon that hears no other has the part of one daemon");
}

void check_partition() {
    property("the parts of both sides of a partition add up to at most the rate", [] {
        const auto frontends =
            fleet_of(*rc::gen::inRange<std::size_t>(1, 5), *rc::gen::inRange<std::size_t>(1, 9));
        std::vector<bool> left;
        for (std::size_t i = 0; i < frontends.size(); ++i) {
            left.push_back(*rc::gen::arbitrary<bool>());
        }
        const std::string customer = *rc::gen::arbitrary<std::string>();
        double sum = 0;
        for (std::size_t at = 0; at < frontends.size(); ++at) {
            std::vector<frontend_host> seen = frontends;
            for (std::size_t i = 0; i < seen.size(); ++i) {
                seen[i].is_heard = left[i] == left[at];
            }
            token_holders holders;
            holders.set_frontends(seen);
            sum += holders.share_of(customer, frontends[at].host);
        }
        RC_ASSERT(sum <= 1 + 1e-9);
    });
}

} // namespace

int main() {
    check_choice();
    check_small_fleets();
    check_partition();
    return eelgrassdoor::test::finish();
}
