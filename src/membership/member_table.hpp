/// \file
/// Defines the table of daemons, built from gossip and the host list. Performs no I/O.
#pragma once

#include "base/clock.hpp"
#include "base/random_source.hpp"
#include "base/text.hpp"
#include "membership/member_record.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::membership {

/// Time limits of the member table.
struct member_options {
    /// A daemon of this daemon's zone that was silent for longer is no longer live.
    duration suspect_after_same_zone = seconds(3);
    /// The same for daemons of other zones.
    duration suspect_after_other_zone = seconds(10);
    /// A daemon that is not on the host list is removed from the table when it was silent for
    /// longer.
    duration remove_after = seconds(60);
    /// For this time after a change a record is preferred in gossip messages.
    duration change_priority_time = seconds(10);
};

/// Returns options for a gossip interval: heartbeats reach all of a zone of 42 daemons in about six
/// rounds, and a daemon must not be suspected because one takes longer.
member_options options_for(duration gossip_interval);

/// Another daemon's last known record and status.
struct member {
    member_record record;
    /// When a new heartbeat or incarnation was last received, directly or through other daemons.
    time_point heard_at;
    /// When the record last changed in anything but its heartbeat.
    time_point changed_at;
    member_status status = member_status::live;
};

/// A change of a daemon's status, as reported by member_table::update().
struct member_change {
    std::string host;
    member_status from;
    member_status to;
};

/// The daemons known to this one. Decisions based on the table may be outdated: that may cost time,
/// but must never break a guarantee such as a rate limit. Statuses are those of the last update().
/// Not thread-safe.
class member_table {
public:
    member_table(member_record self, member_options options);

    /// The record of this daemon. Changes take effect for others with begin_gossip_round().
    [[nodiscard]] const member_record& self() const { return m_self; }
    member_record& self() { return m_self; }
    /// Starts a gossip round: increments the heartbeat of self(), and its revision if other fields
    /// have changed since the last round.
    void begin_gossip_round();

    /// Merges a received record. Records with an older incarnation, or without a newer heartbeat or
    /// revision, are ignored, as are records of this host. Once `leaving` is set, it stays set for
    /// that incarnation. Returns whether the table changed. The status of a new daemon is gone
    /// until update().
    bool merge(const member_record& heard, time_point now);

    /// Merges a received heartbeat. Heartbeats of unknown incarnations, and those that are not
    /// newer than the known one, are ignored.
    void merge_heartbeat(const heartbeat_digest& heard, time_point now);

    /// Replaces the platform's host list: the hosts on it and those of them that are leaving.
    /// Statuses follow with the next update().
    void replace_host_list(const std::set<std::string, std::less<>>& listed,
                           const std::set<std::string, std::less<>>& leaving);

    /// Updates every daemon's status and returns the changes. Removes daemons that are not on the
    /// host list and were silent for longer than member_options::remove_after.
    std::vector<member_change> update(time_point now);

    /// The live daemons of \p zone, including this one unless it is leaving, ordered by host.
    [[nodiscard]] std::vector<const member_record*> live_in(std::string_view zone) const;
    /// All live daemons, including this one unless it is leaving, ordered by host.
    [[nodiscard]] std::vector<const member_record*> live() const;
    /// Another daemon by its host; nullptr for this one and for unknown hosts.
    [[nodiscard]] const member* find(std::string_view host) const;
    /// All known daemons but this one, by host.
    [[nodiscard]] const std::map<std::string, member, std::less<>>& others() const {
        return m_others;
    }
    /// Whether the platform's host list contains \p host.
    [[nodiscard]] bool is_listed(std::string_view host) const { return m_listed.contains(host); }

    /// Whether this daemon is one of the \p count delegates of its zone, which poll the platform
    /// for all. Delegates are chosen by rendezvous hashing; daemons that cannot reach the platform
    /// are skipped.
    [[nodiscard]] bool is_delegate(int count) const;

    /// The live daemon of \p zone with the highest rendezvous weight for \p key; nullptr when none
    /// is live.
    [[nodiscard]] const member_record* owner_in_zone(std::string_view zone,
                                                     std::string_view key) const;

    /// Randomly chosen peer endpoints for a gossip round: up to \p in_zone of this zone and one of
    /// another zone. Daemons that are gone are left out.
    std::vector<std::string> gossip_peers(int in_zone, random_source& random) const;

    /// This daemon's record and up to \p count others, chosen at random: up to half of them among
    /// the recently changed ones, so that changes spread fast, the rest among all.
    std::vector<member_record> gossip_records(std::size_t count, time_point now,
                                              random_source& random) const;
    /// The heartbeats of up to \p in_zone live daemons of this zone and \p others of other zones,
    /// chosen at random.
    std::vector<heartbeat_digest> gossip_heartbeats(std::size_t in_zone, std::size_t others,
                                                    random_source& random) const;
    /// The records of all daemons that are not gone, this daemon's first, for a daemon that has
    /// just started.
    [[nodiscard]] std::vector<member_record> all_records() const;

private:
    /// The status of \p m at \p now by the record, the host list and the time of silence.
    [[nodiscard]] member_status compute_status(const member& m, time_point now) const;

    member_record m_self;
    /// m_self as of the last change of its revision.
    member_record m_published;
    member_options m_options;
    /// By host.
    std::map<std::string, member, std::less<>> m_others;
    /// Hosts by member_key_of() their latest known record.
    std::map<std::uint64_t, std::string> m_host_by_key;
    std::set<std::string, std::less<>> m_listed;
    std::set<std::string, std::less<>> m_listed_leaving;
};

} // namespace eelgrassdoor::membership
