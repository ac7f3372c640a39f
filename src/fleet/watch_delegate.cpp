#include "base/digest.hpp"
#include "fleet/watch_delegate.hpp"

#include <utility>

namespace eelgrassdoor::fleet {

std::string zone_delegate(const member_map& registered, std::string_view availability_zone,
                          const std::function<heard_state(std::string_view host)>& state_of) {
    const std::uint64_t key = stable_hash(availability_zone);
    std::string best;
    std::pair<heard_state, std::uint64_t> best_rank;
    for (const auto& [host, each] : registered) {
        if (each.availability_zone != availability_zone) {
            continue;
        }
        const std::pair rank(state_of(host), rendezvous_weight(key, host));
        if (rank.first != heard_state::silent && (best.empty() || rank > best_rank)) {
            best = host;
            best_rank = rank;
        }
    }
    return best;
}

bool must_watch(const member_map& registered, const member& self,
                const std::function<heard_state(std::string_view host)>& state_of) {
    const std::string delegate = zone_delegate(registered, self.availability_zone, state_of);
    return delegate.empty() || delegate == self.host;
}

} // namespace eelgrassdoor::fleet
