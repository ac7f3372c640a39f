/// \file
/// Defines the table of daemons, built from gossip and the host list. Pure: no I/O.
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

/// The times after which a silent daemon is suspected.
struct member_options {
    duration suspect_after_same_zone = seconds(3);
    duration suspect_after_other_zone = seconds(10);
    /// A suspected daemon that the host list does not name either is forgotten after this time.
    duration forget_after = seconds(60);
    /// For this time a changed record is passed on before others.
    duration change_priority_time = seconds(10);
};

/// The options that fit a gossip interval: news crosses a zone of 42 daemons in about six rounds,
/// and a daemon must not be suspected for a message that takes longer.
member_options options_for(duration gossip_interval);

/// A daemon and when it was last heard, directly or through others.
struct member {
    member_record record;
    time_point heard_at;
    /// When anything but the heartbeat of the record changed last.
    time_point changed_at;
    member_status status = member_status::live;
};

/// A change of status, for logs and for those who act on it.
struct member_change {
    std::string host;
    member_status from;
    member_status to;
};

/// The daemons that this one knows. Everything derived from it may cost time, never a promise.
class member_table {
public:
    member_table(member_record self, member_options options);

    /// The record of this daemon; its heartbeat grows with begin_gossip_round().
    [[nodiscard]] const member_record& self() const { return m_self; }
    member_record& self() { return m_self; }
    /// Begins a gossip round; what changed in self() since the last one becomes news.
    void begin_gossip_round();

    /// Takes in what was heard. Older incarnations and heartbeats change nothing.
    /// Returns whether \p heard was news.
    bool merge(const member_record& heard, time_point now);

    /// Takes in that a known incarnation was alive.
    void merge_heartbeat(const heartbeat_digest& heard, time_point now);

    /// Takes in which hosts the platform lists, and which of them are leaving.
    void merge_host_list(const std::set<std::string, std::less<>>& listed,
                         const std::set<std::string, std::less<>>& leaving);

    /// Brings every status up to date and returns the changes.
    std::vector<member_change> update(time_point now);

    /// The daemons that are live in \p zone, this one included, in order of name.
    [[nodiscard]] std::vector<const member_record*> live_in(std::string_view zone) const;
    /// All live daemons, this one included, in order of name.
    [[nodiscard]] std::vector<const member_record*> live() const;
    [[nodiscard]] const member* find(std::string_view host) const;
    [[nodiscard]] const std::map<std::string, member, std::less<>>& others() const {
        return m_others;
    }
    [[nodiscard]] bool listed(std::string_view host) const { return m_listed.contains(host); }

    /// Whether this daemon is one of the \p count delegates of its zone: the ones that poll the
    /// platform for all. Daemons that cannot reach the platform are passed over.
    [[nodiscard]] bool is_delegate(int count) const;

    /// The live daemon of \p zone with the highest rendezvous weight for \p key.
    [[nodiscard]] const member_record* owner_in_zone(std::string_view zone,
                                                     std::string_view key) const;

    /// The peers of the next gossip round: \p in_zone of this zone and one of another.
    std::vector<std::string> gossip_peers(int in_zone, random_source& random) const;

    /// This daemon's record and up to \p count others: half of them among those that changed
    /// lately, so that news spreads fast, the rest by chance.
    std::vector<member_record> gossip_records(std::size_t count, time_point now,
                                              random_source& random) const;
    /// The heartbeats of this zone and of \p others daemons of other zones.
    std::vector<heartbeat_digest> gossip_heartbeats(std::size_t in_zone, std::size_t others,
                                                    random_source& random) const;
    /// Every record, this daemon's first, for a daemon that has just started.
    [[nodiscard]] std::vector<member_record> all_records() const;

private:
    [[nodiscard]] member_status compute_status(const member& m, time_point now) const;

    member_record m_self;
    member_record m_published;
    member_options m_options;
    std::map<std::string, member, std::less<>> m_others;
    /// Hosts by the digest key of their known incarnation.
    std::map<std::uint64_t, std::string> m_host_by_key;
    std::set<std::string, std::less<>> m_listed;
    std::set<std::string, std::less<>> m_listed_leaving;
};

} // namespace eelgrassdoor::membership
