#include "jobs/slot_arbiter.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::jobs {

void slot_arbiter::configure(std::vector<job_daemon> daemons, std::string_view own_host,
                             duration propagation_delay) {
    m_propagation_delay = propagation_delay;
    if (daemons == m_daemons && own_host == m_own_host) {
        return;
    }
    m_daemons = std::move(daemons);
    m_own_host = own_host;
    ++m_ranking_generation;
}

std::size_t slot_arbiter::rank_at(const routing::fleet_target& target) const {
    const std::uint64_t key = stable_hash(target.id);
    const auto precedence = [&](const job_daemon& each) {
        return std::pair(each.availability_zone == target.availability_zone,
                         rendezvous_weight(key, each.host));
    };
    const auto own = std::find_if(m_daemons.begin(), m_daemons.end(),
                                  [&](const job_daemon& each) { return each.host == m_own_host; });
    if (own == m_daemons.end()) {
        return m_daemons.size();
    }
    return static_cast<std::size_t>(
        std::count_if(m_daemons.begin(), m_daemons.end(),
                      [&](const job_daemon& each) { return precedence(each) > precedence(*own); }));
}

bool slot_arbiter::may_start(const routing::fleet_target& target, int free, time_point now) {
    target_slots& slots = m_targets.find_or_create(target.id);
    if (slots.ranking_generation != m_ranking_generation) {
        slots.ranking_generation = m_ranking_generation;
        slots.rank = rank_at(target);
    }
    slots.free_since.resize(static_cast<std::size_t>(std::max(free, 0)), now);
    if (slots.free_since.empty()) {
        return false;
    }
    const auto rank_delays = static_cast<std::int64_t>(slots.rank) + 1;
    const time_point start_time = slots.free_since.front() + rank_delays * m_propagation_delay;
    if (now < start_time) {
        m_next_start_time = std::min(m_next_start_time, start_time);
        return false;
    }
    return true;
}

void slot_arbiter::record_start(std::string_view target) {
    target_slots* slots = m_targets.find(target);
    if (slots != nullptr && !slots->free_since.empty()) {
        slots->free_since.erase(slots->free_since.begin());
    }
}

} // namespace eelgrassdoor::jobs
