#include "fleet/stream_versions.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"

namespace eelgrassdoor::fleet {

std::uint64_t stream_key(std::string_view customer, std::string_view attempt_id) {
    // An attempt id is the value of a header and thus contains no line feed.
    return stable_hash(str_cat(customer, "\n", attempt_id));
}

void stream_versions::record(std::uint64_t key, std::string_view version) {
    const time_point now = m_clock();
    while (!m_by_age.empty() && m_by_age.front().expires_at <= now) {
        drop_oldest();
    }
    const time_point expires_at = now + entry_lifetime;
    if (!m_versions.try_emplace(key, recorded_version{std::string(version), expires_at}).second) {
        return;
    }
    m_by_age.push_back({key, expires_at});
    if (m_versions.size() > max_entries) {
        drop_oldest();
    }
}

std::optional<std::string> stream_versions::find(std::uint64_t key) const {
    const auto found = m_versions.find(key);
    if (found == m_versions.end() || found->second.expires_at <= m_clock()) {
        return std::nullopt;
    }
    return found->second.version;
}

void stream_versions::drop_oldest() {
    m_versions.erase(m_by_age.front().key);
    m_by_age.pop_front();
}

} // namespace eelgrassdoor::fleet
