/// \file
/// Defines where batch items may run in one dispatch round. Pure: no I/O.
#pragma once

#include "base/clock.hpp"
#include "config/serving_plan.hpp"
#include "jobs/owned_job.hpp"
#include "routing/fleet_load.hpp"
#include "routing/target_constraints.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace eelgrassdoor::jobs {

/// The placement of items in one dispatch round. An item without text runs at any target. A text
/// goes on only at targets of the software version that wrote it:
///  - when the service has none left, the item starts over at any target;
///  - when they have no free slot, it waits, for as long as targets have spent on its text. After
///    that it starts over, so that waiting costs at most about as much as starting over would have.
/// While it waits, other items use the slots of other versions. Valid while targets and their load
/// change only by the starts of this round. Not thread-safe.
class dispatch_round {
public:
    /// Picks a target of a service with a free slot, or none.
    using pick_fn = std::function<std::optional<routing::fleet_target>(
        const std::string& service, const routing::target_constraints& constraints)>;

    /// \p loads must outlive the round.
    dispatch_round(const routing::fleet_load& loads, pick_fn pick, time_point now)
        : m_loads(loads), m_pick(std::move(pick)), m_now(now) {}

    /// The service of \p route at which \p item is to run: \p drawn, unless only another one has
    /// targets of the version of the item's text.
    [[nodiscard]] const std::string& service_of(const owned_item& item,
                                                const config::serving_route& route,
                                                const std::string& drawn);
    /// Whether the text of \p item is to go on at targets of its version only.
    [[nodiscard]] bool goes_on(const owned_item& item, const std::string& service);
    /// Whether a target for \p item was looked for in this round and none was found.
    [[nodiscard]] bool is_held(const owned_item& item, const std::string& service) const;
    /// Picks a target for \p item. When there is none, either is_full(), or only the targets of the
    /// version of its text have no free slot.
    [[nodiscard]] std::optional<routing::fleet_target> place(const owned_item& item,
                                                             const std::string& service);
    /// Whether no target of \p service had a free slot for any item.
    [[nodiscard]] bool is_full(const std::string& service) const {
        return m_full_services.contains(service);
    }

private:
    [[nodiscard]] bool has_version(const std::string& service, const std::string& version);
    /// Picks a target within \p constraints, an excluded one only when there is no other.
    [[nodiscard]] std::optional<routing::fleet_target>
    pick(const std::string& service, routing::target_constraints constraints);

    const routing::fleet_load& m_loads;
    pick_fn m_pick;
    time_point m_now;
    /// Services without a free slot.
    std::set<std::string, std::less<>> m_full_services;
    /// Services and versions without a free slot while other versions have one.
    std::set<std::pair<std::string, std::string>> m_full_versions;
    /// The versions of the services that were asked for.
    std::map<std::string, std::set<std::string, std::less<>>, std::less<>> m_versions;
};

} // namespace eelgrassdoor::jobs
