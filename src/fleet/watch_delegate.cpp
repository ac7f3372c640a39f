#include "fleet/watch_delegate.hpp"

#include "base/digest.hpp"

#include <utility>

namespace eelgrassdoor::fleet {

std::string
select_watch_delegate(const member_map& registered, std::string_view availability_zone,
                      const std::function<peer_status(std::string_view host)>& status_of) {
    const std::uint64_t key = stable_hash(availability_zone);
    std::string best;
    std::pair<peer_status, std::uint64_t> best_rank;
    for (const auto& [host, each] : registered) {
        if (each.availability_zone != availability_zone) {
            continue;
        }
        const std::pair rank(status_of(host), rendezvous_weight(key, host));
        if (rank.first != peer_status::silent && (best.empty() || rank > best_rank)) {
            best = host;
            best_rank = rank;
        }
    }
    return best;
}

bool must_watch(const member_map& registered, const member& self,
                const std::function<peer_status(std::string_view host)>& status_of) {
    const std::string delegate =
        select_watch_delegate(registered, self.availability_zone, status_of);
    return delegate.empty() || delegate == self.host;
}

} // namespace eelgrassdoor::fleet
