/// \file
/// Guards against daemons that take the versions in service now for those that may have begun a
/// stream.
#include "fleet/service_versions.hpp"

#include "check.hpp"
#include "stand_in/disturbed_store.hpp"
#include "stand_in/memory_store.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using eelgrassdoor::test::make_disturbed;
using eelgrassdoor::test::memory_store;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;
using routing::version_set;
using routing::versions_by_service;

constexpr time_point start{};
constexpr duration memory = seconds(60);

routing::fleet_target target(const std::string& id, const std::string& version, bool leaving) {
    return {.id = id, .service = "s", .version = version, .leaving = leaving};
}

void check_history() {
    routing::version_history history(memory);
    history.set_listed({{"s", {"v1", "v2"}}}, start);
    history.set_listed({{"s", {"v2"}}}, start + seconds(5));
    history.set_listed({{"s", {"v2"}}}, start + seconds(30));
    require(history.recent("s", start + seconds(64)) == version_set{"v1", "v2"},
            "a version is remembered after its last target has gone");
    require(history.recent("s", start + seconds(65)) == version_set{"v2"},
            "a version is forgotten at the end of the memory");
    history.add_earlier({{"s", {"v0", "v2"}}}, start + seconds(40));
    require(history.recent("s", start + seconds(99)) == version_set{"v0", "v2"},
            "a version from before the start is remembered from the start on");
    history.set_listed({{"s", {"v0", "v2"}}}, start + seconds(99));
    require(history.recent("s", start + seconds(400)) == version_set{"v0", "v2"},
            "a version that has targets again is not forgotten");
    require(history.recent("other", start).empty(), "an unknown service has no versions");
    const std::vector<routing::fleet_target> targets{target("a", "v1", true),
                                                     target("b", "v2", false)};
    require(routing::versions_of(targets) == versions_by_service{{"s", {"v1", "v2"}}},
            "targets that are leaving count");
}

void check_text() {
    property("any names are written as valid text", [] {
        versions_by_service versions;
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
            versions[*rc::gen::string<std::string>()].insert("v" + std::to_string(i));
        }
        const auto read = fleet::versions_from_json(fleet::to_json(versions));
        RC_ASSERT(read.has_value());
    });
    require(fleet::versions_from_json(R"({"s":["v1","v2"]})") ==
                versions_by_service{{"s", {"v1", "v2"}}},
            "versions are read");
    for (const char* const text : {"", "{", "[]", R"({"s":"v1"})", R"({"s":[1]})", "null"}) {
        require(!fleet::versions_from_json(text), std::string("malformed versions: ") + text);
    }
}

/// Daemons of one fleet, which share a store.
struct version_fleet {
    net::asio::io_context loop{1};
    memory_store memory{loop.get_executor()};
    store::kv_store store = make_disturbed(memory.make_store(), [this](test::store_call call) {
        reads += call == test::store_call::get ? 1 : 0;
        return fault;
    });
    observe::decision_log log{{.host = "test", .descriptor = -1}, steady_clock()};
    time_point now = start;
    test::store_fault fault = test::store_fault::none;
    /// How often a read was checked for a fault, which is twice a read or more.
    int reads = 0;
    bool is_store_reachable = true;
    /// Tells the daemons of the targets that are listed, and whether these can be read.
    std::function<bool()> confirm_targets = [] { return true; };
    std::vector<std::unique_ptr<fleet::service_versions>> daemons;

    fleet::service_versions& add(bool first_start, bool is_writer = true) {
        daemons.push_back(std::make_unique<fleet::service_versions>(
            loop.get_executor(), store, [this] { return now; }, log, first_start));
        daemons.back()->is_writer = [is_writer] { return is_writer; };
        daemons.back()->is_store_reachable = [this] { return is_store_reachable; };
        daemons.back()->confirm_targets = [this]() -> net::task<bool> {
            co_return confirm_targets();
        };
        daemons.back()->start();
        return *daemons.back();
    }
    [[nodiscard]] std::string stored() const {
        const auto found = memory.items().find(std::string(fleet::service_versions_key));
        return found == memory.items().end() ? "" : found->second.value;
    }
    /// Runs the daemons until \p condition holds, for 10 s at most.
    void run_until(const std::string& what, const std::function<bool()>& condition) {
        const time_point end = steady_clock()() + seconds(10);
        while (!condition() && steady_clock()() < end) {
            loop.run_one_for(milliseconds(5));
        }
        require(condition(), what);
    }
    /// Runs the daemons until \p call has returned, and returns its result.
    template <typename Result> Result run(net::task<Result> call) {
        std::optional<Result> out;
        net::asio::co_spawn(loop, std::move(call),
                            [&out](const std::exception_ptr& failure, Result got) {
                                require(failure == nullptr, "the call throws no exception");
                                out = std::move(got);
                            });
        run_until("the call returns", [&out] { return out.has_value(); });
        return std::move(*out);
    }
};

void check_restart() {
    auto& f = *new version_fleet; // Suspended coroutines refer to it at the end of the process.
    fleet::service_versions& first = f.add(true);
    fleet::service_versions& second = f.add(true);
    const std::vector<routing::fleet_target> both{target("a", "v1", false),
                                                  target("b", "v2", false)};
    const std::vector<routing::fleet_target> newer{target("b", "v2", false)};
    first.set_targets(both);
    second.set_targets(both);
    f.run_until("both versions are stored", [&] { return f.stored() == R"({"s":["v1","v2"]})"; });
    require(f.run(first.candidates("s")) == version_set{"v1", "v2"},
            "both versions may begin a stream");
    fleet::service_versions& restarted = f.add(false);
    restarted.set_targets(newer);
    f.fault = test::store_fault::fails;
    require(!f.run(restarted.candidates("s")), "before the versions are read, nothing is known");
    f.fault = test::store_fault::none;
    f.run_until("the versions can be read", [&] { return restarted.stored_revision() != 0; });
    require(f.run(restarted.candidates("s")) == version_set{"v1", "v2"},
            "a restarted daemon knows the version that has gone");
    first.set_targets(newer);
    second.set_targets(newer);
    f.now += memory;
    f.run_until("a version that has gone is deleted",
                [&] { return f.stored() == R"({"s":["v2"]})"; });
    require(f.run(restarted.candidates("s")) == version_set{"v2"}, "only one version is left");
}

void check_nothing_stored(const std::optional<std::string>& malformed) {
    auto& f = *new version_fleet;
    if (malformed) {
        f.memory.put(std::string(fleet::service_versions_key), *malformed);
    }
    const std::vector<routing::fleet_target> targets{target("b", "v2", false)};
    fleet::service_versions& daemon = f.add(false);
    daemon.set_targets(targets);
    f.run_until("the versions are stored", [&] { return f.stored() == R"({"s":["v2"]})"; });
    require(!f.run(daemon.candidates("s")),
            "where no valid versions were stored, earlier ones are not known");
    f.now += memory;
    require(f.run(daemon.candidates("s")) == version_set{"v2"},
            "after the memory, the daemon knows by itself");
}

/// A daemon that has heard of one version only asks what others have begun streams on.
void check_unheard_version() {
    auto& f = *new version_fleet;
    const std::vector<routing::fleet_target> older{target("a", "v1", false)};
    const std::vector<routing::fleet_target> both{target("a", "v1", false),
                                                  target("b", "v2", false)};
    fleet::service_versions& outdated = f.add(true, false);
    fleet::service_versions& current = f.add(true, false);
    outdated.set_targets(older);
    current.set_targets(older);
    require(f.run(current.publish("s", "v1")), "a version is stored");
    require(f.run(outdated.candidates("s")) == version_set{"v1"}, "one version is in service");
    current.set_targets(both);
    require(f.run(current.publish("s", "v2")), "a second version is stored");
    require(f.stored() == R"({"s":["v1","v2"]})", "it is stored when publish() has returned");
    require(f.run(outdated.candidates("s")) == version_set{"v1", "v2"},
            "a version counts that the daemon has not heard of");
    f.is_store_reachable = false;
    require(!f.run(outdated.candidates("s")), "nothing is known while the store is out of reach");
    f.is_store_reachable = true;
    f.fault = test::store_fault::fails;
    require(!f.run(outdated.candidates("s")), "nothing is known when the store does not answer");
}

/// What a daemon knows to be stored needs no call.
void check_known_to_be_stored() {
    auto& f = *new version_fleet;
    const std::vector<routing::fleet_target> targets{target("a", "v1", false)};
    fleet::service_versions& daemon = f.add(true, false);
    daemon.set_targets(targets);
    require(f.run(daemon.publish("s", "v1")), "a version is stored");
    const int reads = f.reads;
    require(f.run(daemon.publish("s", "v1")) && f.reads == reads,
            "a version that is known to be stored needs no call");
    daemon.set_targets({});
    f.memory.put(std::string(fleet::service_versions_key), R"({"s":["v0"]})");
    daemon.set_targets(targets);
    require(f.run(daemon.publish("s", "v1")) && f.stored() == R"({"s":["v0","v1"]})",
            "a version that is listed again is stored again");
}

/// A stream need not wait long for a store that is away, and the version is stored on its return.
void check_store_away() {
    auto& f = *new version_fleet;
    const std::vector<routing::fleet_target> targets{target("a", "v1", false)};
    fleet::service_versions& daemon = f.add(true, false);
    daemon.set_targets(targets);
    f.run_until("nothing is stored at first", [&] { return daemon.synced_at().has_value(); });
    f.is_store_reachable = false;
    require(!f.run(daemon.publish("s", "v1")), "a store out of reach is not waited for");
    f.is_store_reachable = true;
    f.run_until("the version is stored on its return",
                [&] { return f.stored() == R"({"s":["v1"]})"; });
}

/// A store that is silent holds up the streams that begin first, each for a bounded time.
void check_silent_store() {
    auto& f = *new version_fleet;
    const std::vector<routing::fleet_target> targets{target("a", "v1", false)};
    fleet::service_versions& daemon = f.add(true, false);
    daemon.set_targets(targets);
    f.run_until("nothing is stored at first", [&] { return daemon.synced_at().has_value(); });
    f.fault = test::store_fault::stalls;
    std::optional<bool> first;
    net::asio::co_spawn(f.loop, daemon.publish("s", "v1"),
                        [&first](const std::exception_ptr&, bool got) { first = got; });
    const int reads = f.reads;
    f.run_until("the store is asked", [&] { return f.reads > reads; });
    require(!first, "a stream waits for the store");
    f.now += fleet::service_versions::sync_timeout;
    f.run_until("the wait ends", [&] { return first.has_value(); });
    require(!*first, "a silent store has stored nothing");
    require(!f.run(daemon.publish("s", "v1")), "the next stream does not wait");
    f.fault = test::store_fault::none;
    f.run_until("the version is stored when the store answers",
                [&] { return f.stored() == R"({"s":["v1"]})"; });
}

/// Callers of many streams come back at once when a daemon has ended.
void check_many_requests() {
    auto& f = *new version_fleet;
    fleet::service_versions& daemon = f.add(true, false);
    f.run_until("the versions are read", [&] { return daemon.synced_at().has_value(); });
    constexpr int requests = 100;
    const int before = f.reads;
    int answered = 0;
    for (int i = 0; i < requests; ++i) {
        net::asio::co_spawn(
            f.loop, daemon.candidates("s"),
            [&answered](const std::exception_ptr&, const std::optional<version_set>& got) {
                answered += got ? 1 : 0;
            });
    }
    f.run_until("all requests are answered", [&] { return answered == requests; });
    // Two reads at most: one that had begun before some requests came, and one after.
    require(f.reads - before <= 2 * 3, "requests that come together share a read");
}

/// The last target of a version restarts, and nothing else changes what is stored.
void check_listed_again() {
    auto& f = *new version_fleet;
    const std::vector<routing::fleet_target> targets{target("a", "v1", false)};
    fleet::service_versions& daemon = f.add(true, false);
    daemon.set_targets(targets);
    require(f.run(daemon.publish("s", "v1")), "a version is stored");
    daemon.set_targets({});
    daemon.set_targets(targets);
    require(f.run(daemon.publish("s", "v1")), "a version that is listed again is stored");
    const int reads = f.reads;
    require(f.run(daemon.publish("s", "v1")), "it stays stored");
    require(f.reads == reads, "its next stream needs no call");
}

/// What publish() has found stored is not stored again once others have deleted it.
void check_deleted_stays_deleted() {
    auto& f = *new version_fleet;
    const std::vector<routing::fleet_target> targets{target("a", "v1", false)};
    fleet::service_versions& daemon = f.add(true, false);
    daemon.set_targets(targets);
    require(f.run(daemon.publish("s", "v1")), "a version is stored");
    daemon.set_targets({});
    daemon.set_targets(targets);
    require(f.run(daemon.publish("s", "v1")), "a version that is listed again is stored");
    daemon.set_targets({});
    f.memory.put(std::string(fleet::service_versions_key), R"({"s":["v2"]})");
    // The sync of the second call starts when that of the first one has ended.
    for (int i = 0; i < 2; ++i) {
        require(f.run(daemon.candidates("s")).has_value(), "the versions are read again");
    }
    require(f.stored() == R"({"s":["v2"]})", "a deleted version stays deleted, got " + f.stored());
}

/// A writer that has not heard that a version has targets again must not delete it.
void check_writer_behind() {
    auto& f = *new version_fleet;
    const std::vector<routing::fleet_target> older{target("a", "v1", false)};
    const std::vector<routing::fleet_target> both{target("a", "v1", false),
                                                  target("b", "v2", false)};
    fleet::service_versions& writer = f.add(true);
    fleet::service_versions& current = f.add(true, false);
    fleet::service_versions& outdated = f.add(true, false);
    outdated.set_targets(older);
    require(f.run(outdated.candidates("s")) == version_set{"v1"}, "one version is in service");
    writer.set_targets(both);
    f.run_until("both versions are stored", [&] { return f.stored() == R"({"s":["v1","v2"]})"; });
    writer.set_targets(older);
    current.set_targets(older);
    f.confirm_targets = [] { return false; };
    f.now += memory - seconds(1);
    current.set_targets(both);
    require(f.run(current.publish("s", "v2")), "a version that has returned is stored");
    f.now += seconds(1);
    require(f.run(writer.candidates("s")).has_value(), "the writer has looked at what is stored");
    require(f.stored() == R"({"s":["v1","v2"]})",
            "a version is not deleted while its targets cannot be read");
    f.confirm_targets = [&writer, &both] {
        writer.set_targets(both);
        return true;
    };
    require(f.run(writer.candidates("s")).has_value(), "the writer has looked again");
    require(f.run(outdated.candidates("s")) == version_set{"v1", "v2"},
            "a version on which streams have just begun is not deleted, got " + f.stored());
}

/// A daemon whose first read has failed, as at a start beside a refusing store, knows nothing yet.
void check_first_read_fails() {
    auto& f = *new version_fleet;
    f.fault = test::store_fault::fails;
    const std::vector<routing::fleet_target> targets{target("a", "v1", false)};
    fleet::service_versions& daemon = f.add(true, false);
    daemon.set_targets(targets);
    require(!f.run(daemon.publish("s", "v1")), "a refusing store has stored no version");
    f.fault = test::store_fault::none;
    f.run_until("the version is stored when the store answers",
                [&] { return f.stored() == R"({"s":["v1"]})"; });
}

} // namespace

int main() {
    check_history();
    check_text();
    check_restart();
    check_nothing_stored(std::nullopt);
    check_nothing_stored("{");
    check_unheard_version();
    check_known_to_be_stored();
    check_store_away();
    check_silent_store();
    check_many_requests();
    check_listed_again();
    check_deleted_stays_deleted();
    check_writer_behind();
    check_first_read_fails();
    const int status = eelgrassdoor::test::finish();
    std::fflush(stdout);
    std::_Exit(status);
}
