#include "base/digest.hpp"
#include "jobs/slot_arbiter.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::jobs {

void start_turns::configure(std::vector<job_daemon> daemons, std::string_view own_host,
                            duration news_time) {
    m_news_time = news_time;
    if (daemons == m_daemons && own_host == m_own_host) {
        return;
    }
    m_daemons = std::move(daemons);
    m_own_host = own_host;
    ++m_order;
}

std::size_t start_turns::rank_at(const routing::fleet_target& target) const {
    const std::uint64_t key = stable_hash(target.id);
    const auto order = [&](const job_daemon& each) {
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
                      [&](const job_daemon& each) { return order(each) > order(*own); }));
}

bool start_turns::may_start(const routing::fleet_target& target, int free, time_point now) {
    target_slots& slots = m_targets.at(target.id);
    if (slots.order != m_order) {
        slots.order = m_order;
        slots.rank = rank_at(target);
    }
    slots.free_since.resize(static_cast<std::size_t>(std::max(free, 0)), now);
    if (slots.free_since.empty()) {
        return false;
    }
    const auto turns = static_cast<std::int64_t>(slots.rank) + 1;
    const time_point turn = slots.free_since.front() + turns * m_news_time;
    if (now < turn) {
        m_next_turn = std::min(m_next_turn, turn);
        return false;
    }
    return true;
}

void start_turns::note_started(std::string_view target) {
    target_slots* slots = m_targets.find(target);
    if (slots != nullptr && !slots->free_since.empty()) {
        slots->free_since.erase(slots->free_since.begin());
    }
}

} // namespace eelgrassdoor::jobs
