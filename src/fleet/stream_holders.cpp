#include "fleet/stream_holders.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::fleet {

namespace {

/// Number of daemons that serve callers and get a copy.
constexpr std::size_t copies = 2;

/// A daemon and its rank for one stream.
struct candidate {
    const stream_holder* daemon = nullptr;
    std::pair<bool, std::uint64_t> rank;
};

bool is_before(const candidate& a, const candidate& b) {
    return a.rank > b.rank;
}

/// The first \p count of \p daemons in the ranking for the stream \p key.
std::vector<candidate> first_ranked(const std::vector<stream_holder>& daemons, std::uint64_t key,
                                    std::size_t count) {
    std::vector<candidate> all;
    all.reserve(daemons.size());
    for (const stream_holder& each : daemons) {
        all.push_back({&each, {each.is_heard, rendezvous_weight(key, each.host)}});
    }
    const std::size_t kept = std::min(count, all.size());
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(kept), all.end(),
                      is_before);
    all.resize(kept);
    return all;
}

} // namespace

void stream_holders::set_daemons(std::vector<stream_holder> others, std::string_view own_zone) {
    m_own_zone = own_zone;
    m_by_zone.clear();
    for (stream_holder& each : others) {
        m_by_zone[each.availability_zone].push_back(std::move(each));
    }
}

std::vector<stream_holder> stream_holders::copies_of(std::uint64_t key) const {
    std::vector<candidate> near;
    std::vector<candidate> far;
    std::vector<candidate> far_substitutes;
    for (const auto& [zone, daemons] : m_by_zone) {
        const std::vector<candidate> first = first_ranked(daemons, key, copies);
        if (zone == m_own_zone) {
            near = first;
            continue;
        }
        far.push_back(first.front());
        far_substitutes.insert(far_substitutes.end(), first.begin() + 1, first.end());
    }
    std::sort(far.begin(), far.end(), is_before);
    std::sort(far_substitutes.begin(), far_substitutes.end(), is_before);
    std::vector<candidate> ordered(near.begin(), near.begin() + (near.empty() ? 0 : 1));
    ordered.insert(ordered.end(), far.begin(), far.end());
    ordered.insert(ordered.end(), far_substitutes.begin(), far_substitutes.end());
    ordered.insert(ordered.end(), near.begin() + (near.empty() ? 0 : 1), near.end());
    std::stable_partition(ordered.begin(), ordered.end(),
                          [](const candidate& each) { return each.daemon->is_heard; });
    ordered.resize(std::min(ordered.size(), copies));
    std::vector<stream_holder> out;
    for (const candidate& each : ordered) {
        out.push_back(*each.daemon);
    }
    for (const candidate& each : first_ranked(m_job_hosts, key, 1)) {
        out.push_back(*each.daemon);
    }
    return out;
}

std::vector<stream_holder> stream_holders::asked_for(std::uint64_t key) const {
    std::vector<stream_holder> out;
    for (const auto& [zone, daemons] : m_by_zone) {
        for (const candidate& each : first_ranked(daemons, key, asked_in_zone)) {
            out.push_back(*each.daemon);
        }
    }
    for (const candidate& each : first_ranked(m_job_hosts, key, asked_job_hosts)) {
        out.push_back(*each.daemon);
    }
    return out;
}

} // namespace eelgrassdoor::fleet
