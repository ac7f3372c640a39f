#include "routing/placement_queue.hpp"

#include <algorithm>
#include <iterator>
#include <vector>

namespace eelgrassdoor::routing {

namespace {

/// Service time that is assumed before the first response of a route.
constexpr duration assumed_service_time = milliseconds(500);
/// Longest delay of a refused caller. A caller whose deadline is far must not be kept away by a
/// prediction that a few ended requests make obsolete.
constexpr duration max_return_delay = milliseconds(1500);
/// Part of the delay by which callers are spread, as they share the reason for their refusal.
constexpr double return_spread = 0.25;
/// Time before the end of its wait in which a late request takes any place.
constexpr duration last_chance = milliseconds(500);
/// A refused caller that still has time gets a delay of at most one part in this many of it.
constexpr int return_time_divisor = 2;

/// Mean time between two places that become free for this daemon. The daemon hears of the ends of
/// its own requests before any other does, so it relies on those, or on an equal part of all
/// places if it holds fewer.
duration place_interval(const placement_capacity& capacity, duration service_time) {
    const double equal_part = static_cast<double>(capacity.places) /
                              static_cast<double>(std::max<std::size_t>(1, capacity.daemons));
    const double places = std::max(static_cast<double>(capacity.held), equal_part);
    const duration time = service_time > duration::zero() ? service_time : assumed_service_time;
    return places > 0 ? from_seconds(to_seconds(time) / places) : duration::max();
}

} // namespace

int part_of_free_places(int free, std::size_t daemons, random_source& random) {
    const double part =
        static_cast<double>(free) / static_cast<double>(std::max<std::size_t>(1, daemons));
    return static_cast<int>(part + random.uniform());
}

placement_queue::group_key placement_queue::group_of(const placement_request& request,
                                                     bool is_late) {
    return {is_late, request.customer_priority, request.route_priority};
}

std::size_t placement_queue::ahead_of(const placement_request& request, group_key group) const {
    std::size_t ahead = 0;
    for (const auto& [key, queue] : m_groups) {
        if (key < group) {
            ahead += queue.size();
        } else if (key == group) {
            ahead += queue.ahead_of(request.customer, request.weight);
        }
    }
    return ahead;
}

placement_decision placement_queue::enqueue(placement_request request,
                                            const placement_capacity& capacity, time_point now,
                                            random_source& random) {
    demote_late(now);
    const waiting_request& timing = request.timing;
    const time_point on_time_until =
        request.patience ? now + *request.patience
                         : now + max_wait_within_objective(timing.objective) - timing.elapsed;
    const group_key group = group_of(request, on_time_until <= now);
    const duration interval = place_interval(capacity, timing.service_time);
    placement_decision out;
    if (interval == duration::max()) {
        out.predicted = timing.time_left;
        out.retry_after = reserve_return(max_return_delay, duration::zero(), timing, now, random);
        return out;
    }
    out.predicted = interval * static_cast<int>(ahead_of(request, group) + 1);
    const wait_decision decision = decide_wait(timing, out.predicted);
    const bool should_wait = request.patience || decision.should_wait;
    if (!should_wait || !make_room_for(request)) {
        out.retry_after = reserve_return(out.predicted, interval, timing, now, random);
        return out;
    }
    out.id = ++m_last_id;
    const duration longest =
        request.patience ? std::min(*request.patience, timing.time_left) : decision.max_wait;
    const waiter& added =
        m_waiting.emplace(out.id, waiter{std::move(request), group, on_time_until, now + longest})
            .first->second;
    insert(out.id, added);
    return out;
}

void placement_queue::insert(placement_id id, const waiter& waiting) {
    // The bound is that of the whole queue.
    const fair_queue_options unbounded{.max_per_customer = m_options.max_waiting,
                                       .max_total = m_options.max_waiting};
    fair_queue& queue = m_groups.try_emplace(waiting.group, unbounded).first->second;
    const time_point expiry = waiting.group.is_late ? waiting.end : waiting.on_time_until;
    queue.push(id, waiting.request.customer, waiting.request.weight, expiry);
}

void placement_queue::leave(placement_id id) {
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end()) {
        return;
    }
    const auto group = m_groups.find(found->second.group);
    if (group->second.front() == id) {
        // The customer's share is charged.
        group->second.pop();
    } else {
        group->second.remove(id);
    }
    if (group->second.size() == 0) {
        m_groups.erase(group);
    }
    m_waiting.erase(found);
}

void placement_queue::demote_late(time_point now) {
    std::vector<placement_id> late;
    for (auto group = m_groups.begin(); group != m_groups.end() && !group->first.is_late;) {
        std::ranges::copy(group->second.expire(now), std::back_inserter(late));
        group = group->second.size() == 0 ? m_groups.erase(group) : std::next(group);
    }
    for (const placement_id id : late) {
        waiter& waiting = m_waiting.at(id);
        waiting.group.is_late = true;
        insert(id, waiting);
    }
}

bool placement_queue::needs_idle_target(placement_id id, time_point now) const {
    const waiter& waiting = m_waiting.at(id);
    return waiting.group.is_late && waiting.end - now > last_chance;
}

std::optional<placement_id> placement_queue::first(time_point now) {
    demote_late(now);
    return m_groups.empty() ? std::nullopt : m_groups.begin()->second.front();
}

std::optional<placement_id> placement_queue::next_after(placement_id id, time_point now) {
    demote_late(now);
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end()) {
        return std::nullopt;
    }
    auto group = m_groups.find(found->second.group);
    const std::vector<std::uint64_t> order = group->second.in_order();
    const auto own = std::ranges::find(order, id);
    if (own != order.end() && std::next(own) != order.end()) {
        return *std::next(own);
    }
    ++group;
    return group == m_groups.end() ? std::nullopt : group->second.front();
}

void placement_queue::wake(placement_id id) const {
    if (const auto found = m_waiting.find(id); found != m_waiting.end()) {
        found->second.request.wake();
    }
}

bool placement_queue::make_room_for(const placement_request& request) {
    if (m_waiting.size() < m_options.max_waiting) {
        return true;
    }
    std::map<std::string_view, double> shares;
    for (const auto& [id, waiting] : m_waiting) {
        shares[waiting.request.customer] += 1 / waiting.request.weight;
    }
    const auto heaviest =
        std::ranges::max_element(shares, {}, [](const auto& customer) { return customer.second; });
    const auto own = shares.find(request.customer);
    const double own_share = (own == shares.end() ? 0 : own->second) + 1 / request.weight;
    if (heaviest == shares.end() || own_share > heaviest->second) {
        return false;
    }
    // Ids ascend, so the last one found came last.
    const auto last = std::find_if(m_waiting.rbegin(), m_waiting.rend(), [&](const auto& entry) {
        return entry.second.request.customer == heaviest->first && !entry.second.request.patience;
    });
    if (last == m_waiting.rend()) {
        return false;
    }
    const std::function<void()> tell = last->second.request.wake;
    leave(last->first);
    tell();
    return true;
}

duration placement_queue::reserve_return(duration predicted, duration interval,
                                         const waiting_request& timing, time_point now,
                                         random_source& random) {
    const duration at_least = max_wait_within_objective(timing.objective);
    const duration at_most = std::max(
        at_least, std::min<duration>(max_return_delay, timing.time_left / return_time_divisor));
    m_last_return = std::max(m_last_return + interval, now + predicted);
    m_last_return = std::min(m_last_return, now + at_most);
    const duration delay = std::max(at_least, m_last_return - now);
    return from_seconds(to_seconds(delay) * (1 + return_spread * random.uniform()));
}

} // namespace eelgrassdoor::routing
