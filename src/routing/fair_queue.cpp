#include "routing/fair_queue.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

bool fair_queue::push(std::uint64_t id, std::string_view customer, double weight,
                      time_point deadline) {
    customer_queue& queue = m_queues.try_emplace(std::string(customer)).first->second;
    if (m_size >= m_options.max_total || queue.entries.size() >= m_options.max_per_customer) {
        return false;
    }
    const double start = std::max(m_virtual_time, queue.last_finish);
    queue.last_finish = start + 1 / weight;
    queue.entries.push_back({id, start, deadline});
    ++m_size;
    return true;
}

fair_queue::queue_map::const_iterator fair_queue::next() const {
    auto best = m_queues.end();
    for (auto it = m_queues.begin(); it != m_queues.end(); ++it) {
        const bool earlier = !it->second.entries.empty() &&
                             (best == m_queues.end() || it->second.entries.front().start <
                                                            best->second.entries.front().start);
        if (earlier) {
            best = it;
        }
    }
    return best;
}

std::optional<std::uint64_t> fair_queue::front() const {
    const auto found = next();
    if (found == m_queues.end()) {
        return std::nullopt;
    }
    return found->second.entries.front().id;
}

void fair_queue::pop() {
    const auto found = next();
    if (found == m_queues.end()) {
        return;
    }
    customer_queue& queue = m_queues.find(found->first)->second;
    m_virtual_time = std::max(m_virtual_time, queue.entries.front().start);
    queue.entries.pop_front();
    --m_size;
    reset_if_empty();
}

void fair_queue::reset_if_empty() {
    if (m_size == 0) {
        m_queues.clear();
        m_virtual_time = 0;
    }
}

void fair_queue::remove(std::uint64_t id) {
    for (auto& [customer, queue] : m_queues) {
        m_size -= std::erase_if(queue.entries, [id](const entry& e) { return e.id == id; });
    }
    reset_if_empty();
}

std::vector<std::uint64_t> fair_queue::expire(time_point now) {
    std::vector<std::uint64_t> out;
    for (auto& [customer, queue] : m_queues) {
        m_size -= std::erase_if(queue.entries, [&](const entry& e) {
            const bool expired = e.deadline <= now;
            if (expired) {
                out.push_back(e.id);
            }
            return expired;
        });
    }
    reset_if_empty();
    return out;
}

std::vector<std::uint64_t> fair_queue::in_order() const {
    std::vector<entry> entries;
    for (const auto& [customer, queue] : m_queues) {
        entries.insert(entries.end(), queue.entries.begin(), queue.entries.end());
    }
    // Stable, so that of equal starts the customer that next() finds first stays first.
    std::ranges::stable_sort(entries, {}, &entry::start);
    std::vector<std::uint64_t> out(entries.size());
    std::ranges::transform(entries, out.begin(), &entry::id);
    return out;
}

std::size_t fair_queue::ahead_of(std::string_view customer, double weight) const {
    const auto own = m_queues.find(customer);
    double start = m_virtual_time;
    if (own != m_queues.end() && !own->second.entries.empty()) {
        start = std::max(start, own->second.entries.back().start + 1 / weight);
    }
    std::size_t ahead = 0;
    for (const auto& [name, queue] : m_queues) {
        ahead += static_cast<std::size_t>(std::ranges::count_if(
            queue.entries, [start](const entry& e) { return e.start <= start; }));
    }
    return ahead;
}

} // namespace eelgrassdoor::routing
