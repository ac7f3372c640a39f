#include "fleet/watch_duty.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <set>

namespace eelgrassdoor::fleet {

namespace {

/// Delegates that must be heard so that losing one of them delays no news.
constexpr std::size_t delegates_to_hear = 2;

} // namespace

std::string zone_delegate(const member_map& registered, std::string_view availability_zone) {
    const std::uint64_t key = stable_hash(availability_zone);
    std::string best;
    std::uint64_t best_weight = 0;
    for (const auto& [host, each] : registered) {
        if (each.availability_zone != availability_zone) {
            continue;
        }
        const std::uint64_t weight = rendezvous_weight(key, host);
        if (best.empty() || weight > best_weight) {
            best = host;
            best_weight = weight;
        }
    }
    return best;
}

bool must_watch(const member_map& registered, const member& self,
                const std::function<bool(std::string_view host)>& hears_with_store) {
    std::set<std::string_view> zones;
    for (const auto& [host, each] : registered) {
        zones.insert(each.availability_zone);
    }
    std::size_t heard = 0;
    for (std::string_view zone : zones) {
        const std::string delegate = zone_delegate(registered, zone);
        if (delegate == self.host) {
            return true;
        }
        heard += hears_with_store(delegate) ? 1 : 0;
    }
    return heard < delegates_to_hear;
}

} // namespace eelgrassdoor::fleet
