/// \file
/// Replicas of the key-value service never go back, and lapsed targets are not taken as gone.
#include "check.hpp"
#include "fleet/member_directory.hpp"
#include "fleet/store_connectivity.hpp"
#include "fleet/target_retention.hpp"
#include "fleet/watch_delegate.hpp"
#include "store/mirror.hpp"

#include <set>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::store;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

kv_event put(const std::string& key, std::uint64_t revision) {
    return {{key, "v" + std::to_string(revision), revision}, false};
}

void check_order() {
    property("news in any order, some of them twice, lead to the same keys", [] {
        // One true history; each daemon hears its events in another order.
        std::vector<kv_event> history;
        std::map<std::string, std::uint64_t> truth;
        const int steps = *rc::gen::inRange(1, 30);
        for (int i = 1; i <= steps; ++i) {
            const std::string key = "p/" + std::to_string(*rc::gen::inRange(0, 4));
            const auto revision = static_cast<std::uint64_t>(i);
            kv_event event = put(key, revision);
            event.deleted = *rc::gen::inRange(0, 4) == 0;
            event.deleted ? truth.erase(key) : (truth[key] = revision, 1);
            history.push_back(event);
        }
        mirror replica({"p/"});
        replica.apply_changes("p/", {history, static_cast<std::uint64_t>(steps)});
        const auto cut = *rc::gen::inRange<std::size_t>(0, history.size());
        replica.apply_changes("p/", {{history.begin(), history.begin() + cut}, cut});
        RC_ASSERT(replica.items("p/").size() == truth.size());
        for (const auto& [key, revision] : truth) {
            RC_ASSERT(replica.find(key)->revision == revision);
        }
    });
}

void check_snapshots() {
    mirror replica({"p/"});
    int changes = 0;
    replica.on_change([&](std::string_view) { ++changes; });
    replica.apply_snapshot({"p/", 10, {{"p/a", "1", 4}, {"p/b", "1", 9}}});
    require(changes == 1 && replica.revision("p/") == 10, "a snapshot is taken in");
    replica.apply_snapshot({"p/", 8, {{"p/a", "1", 4}}});
    require(replica.find("p/b") != nullptr, "an older snapshot deletes nothing");
    replica.apply_changes("p/", {{put("p/c", 12)}, 12});
    replica.apply_snapshot({"p/", 12, {{"p/a", "1", 4}, {"p/c", "v12", 12}}});
    require(replica.find("p/b") == nullptr, "a key that a newer snapshot lacks was deleted");
    require(replica.content_revision("p/") == 12, "the highest change is known");
}

void check_roster() {
    fleet::target_roster roster;
    const routing::fleet_target target{.id = "x", .service = "s"};
    const time_point start{};
    const time_point later = start + seconds(20);
    const fleet::store_contact steady{start, {}};
    require(roster.update({target}, steady, later).size() == 1, "a listed target is used");
    require(roster.update({}, steady, later).empty(), "one that vanishes is gone");
    roster.update({target}, steady, later);
    require(roster.update({}, {time_point::max(), {}}, later).size() == 1,
            "unless the store is away");
    const fleet::store_contact back{later, seconds(5)};
    require(roster.update({}, back, later + seconds(1)).size() == 1,
            "or has just come back after an outage that ended entries");
    require(roster.update({}, back, later + seconds(3)).empty(),
            "an entry that is still missing then is gone");
    roster.update({target}, steady, later);
    require(roster.update({}, {later, milliseconds(300)}, later + seconds(1)).empty(),
            "a short outage ends no entry");
}

void check_directory() {
    fleet::directory known;
    const fleet::member front{.host = "f", .incarnation = 1, .serves_callers = true};
    time_point now{};
    known.set_registered({front}, now);
    require(known.fronts(now) == 1 && known.registered().size() == 1, "a registered daemon counts");
    known.set_registered({}, now);
    require(known.registered().empty(), "what it owns passes on with its registration");
    require(known.fronts(now) == 1 && known.knows("f", now),
            "it may still serve callers with its share of the rates");
    now += seconds(10);
    known.note_heard("f", now);
    known.note_heard("stranger", now);
    now += seconds(10);
    require(known.knows("f", now) && !known.knows("stranger", now),
            "also later, while it is heard");
    now += seconds(10);
    require(known.fronts(now) == 0, "and not for ever when it is silent");
    known.set_registered({front}, now);
    known.set_registered({}, now);
    known.forget("f");
    require(known.fronts(now) == 0, "a daemon that said that it ends does not count");
}

void check_watch_duty() {
    fleet::member_map fleet;
    for (int i = 0; i < 12; ++i) {
        const std::string host = "h" + std::to_string(i);
        fleet[host] = {.host = host, .availability_zone = i % 2 == 0 ? "a" : "b"};
    }
    using fleet::heard_state;
    const auto all = [](std::string_view) { return heard_state::with_store; };
    const auto away = [](std::string_view) { return heard_state::without_store; };
    const auto watchers = [&](const auto& state_of) {
        std::set<std::string> hosts;
        for (const auto& [host, self] : fleet) {
            if (fleet::must_watch(fleet, self, state_of)) {
                hosts.insert(host);
            }
        }
        return hosts;
    };
    require(watchers(all).size() == 2, "one daemon of each zone watches");
    require(watchers(away).size() == 2, "also while the store is away for all");
    for (const auto& [host, self] : fleet) {
        const auto alone = [&own = self.host](std::string_view other) {
            return other == own ? heard_state::with_store : heard_state::silent;
        };
        require(fleet::must_watch(fleet, self, alone),
                "a daemon that hears nobody watches by itself");
    }
    const std::string delegate = fleet::zone_delegate(fleet, "a", all);
    const auto turned_away = [&](std::string_view host) {
        return host == delegate ? heard_state::without_store : heard_state::with_store;
    };
    const std::string second = fleet::zone_delegate(fleet, "a", turned_away);
    require(second != delegate && watchers(turned_away).contains(second),
            "one that the store serves takes the place of a delegate that it turns away");
    require(!watchers(turned_away).contains(delegate), "which then watches no more");
    const auto silent = [&](std::string_view host) {
        return host == delegate ? heard_state::silent : heard_state::with_store;
    };
    require(fleet::zone_delegate(fleet, "a", silent) == second, "or of one that is silent");
    require(fleet::zone_delegate(fleet, "none", all).empty(), "an empty zone has none");
    require(fleet::must_watch({}, {.host = "x"}, all), "who knows nobody watches");
    require(!fleet::must_watch(fleet, {.host = "x", .availability_zone = "a"}, all),
            "who is not registered, as the store turns it away, is told by others");
}

void check_presence() {
    fleet::store_presence presence;
    const time_point start = time_point{} + seconds(100);
    presence.update(true, start);
    presence.update(false, start + seconds(5));
    require(presence.contact().connected_since == time_point::max(), "an outage is noticed");
    presence.update(true, start + seconds(9));
    require(presence.contact().outage == seconds(4) &&
                presence.contact().connected_since == start + seconds(9),
            "and how long it was");
}

} // namespace

int main() {
    check_watch_duty();
    check_presence();
    check_directory();
    check_order();
    check_snapshots();
    check_roster();
    return eelgrassdoor::test::finish();
}
