#include "batch/scheduler.hpp"

#include <algorithm>
#include <limits>

namespace eelgrassdoor::batch {

std::optional<std::size_t> scheduler::pick(const std::vector<ready_job>& ready) {
    if (ready.empty()) {
        return std::nullopt;
    }
    std::map<std::string_view, double> weights;
    for (const ready_job& r : ready) {
        weights[r.customer] = r.weight;
    }
    // A customer without ready jobs accumulates no credit.
    std::erase_if(m_deficits, [&](const auto& e) { return !weights.contains(e.first); });
    // The number of rounds, possibly fractional, after which the first customer can afford an item.
    double rounds = std::numeric_limits<double>::max();
    for (const auto& [customer, weight] : weights) {
        const double deficit = m_deficits.try_emplace(std::string(customer)).first->second;
        rounds = std::min(rounds, std::max(0.0, (1 - deficit) / weight));
    }
    std::string_view chosen;
    double most = -1;
    for (const auto& [customer, weight] : weights) {
        double& deficit = m_deficits.find(customer)->second;
        deficit += rounds * weight;
        if (deficit > most) {
            most = deficit;
            chosen = customer;
        }
    }
    m_deficits.find(chosen)->second -= 1;
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < ready.size(); ++i) {
        if (ready[i].customer == chosen && (!best || ready[i].due < ready[*best].due)) {
            best = i;
        }
    }
    return best;
}

void scheduler::refund(std::string_view customer) {
    const auto found = m_deficits.find(customer);
    if (found != m_deficits.end()) {
        found->second += 1;
    }
}

} // namespace eelgrassdoor::batch
