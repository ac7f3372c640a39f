/// \file
/// Defines how the mirrored entries of targets become the targets that requests are sent to.
#pragma once

#include "fleet/target_roster.hpp"
#include "observe/decision_log.hpp"
#include "routing/fleet_load.hpp"
#include "store/kv_store.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace eelgrassdoor::host {

/// Reads entries, which other writers may have damaged, and logs each change once.
class target_listing {
public:
    using decoder = std::function<result<routing::fleet_target>(const store::kv_item&)>;
    using entries = std::map<std::string, store::kv_item, std::less<>>;

    target_listing(decoder decode, observe::decision_log& log)
        : m_decode(std::move(decode)), m_log(log) {}

    /// Returns the targets to use now.
    std::vector<routing::fleet_target> update(const entries& items,
                                              const fleet::store_contact& contact, time_point now);

private:
    std::vector<routing::fleet_target> read(const entries& items);
    void log_changes(const std::vector<routing::fleet_target>& used);

    decoder m_decode;
    observe::decision_log& m_log;
    fleet::target_roster m_roster;
    std::set<std::string> m_known;
    /// Entries that were found malformed, with the revision that was reported.
    std::map<std::string, std::uint64_t, std::less<>> m_rejected;
};

} // namespace eelgrassdoor::host
