/// \file
/// Defines how the mirrored entries of targets become the targets that requests are sent to.
#pragma once

#include "fleet/target_retention.hpp"
#include "observe/decision_log.hpp"
#include "routing/fleet_load.hpp"
#include "store/kv_store.hpp"

#include <functional>
#include <map>
#include <optional>
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
    /// An entry as it was read last.
    struct read_entry {
        std::uint64_t revision = 0;
        /// Nothing when the entry is malformed.
        std::optional<routing::fleet_target> target;
    };

    std::vector<routing::fleet_target> read(const entries& items);
    read_entry read_one(const store::kv_item& item);
    void log_changes(const std::vector<routing::fleet_target>& used);

    decoder m_decode;
    observe::decision_log& m_log;
    fleet::target_roster m_roster;
    std::set<std::string> m_known;
    std::map<std::string, read_entry, std::less<>> m_read;
};

} // namespace eelgrassdoor::host
