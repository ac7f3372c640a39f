/// \file
/// Guards against a daemon that others do not hear after it restarted with an earlier clock, and
/// against digests of an earlier run that displace those of a later one.
#include "check.hpp"
#include "fleet/peer_table.hpp"

#include <rapidcheck.h>

#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::fleet;
using eelgrassdoor::test::require;

constexpr duration repeat_interval = milliseconds(500);
constexpr std::uint64_t later_clock = 2000;
constexpr std::uint64_t earlier_clock = 1000;

load_digest digest_of(std::uint64_t incarnation, std::uint64_t sequence) {
    load_digest digest;
    digest.host = "h";
    digest.incarnation = incarnation;
    digest.sequence = sequence;
    return digest;
}

member_map registered_as(std::uint64_t incarnation) {
    return {{"h", {.host = "h", .incarnation = incarnation}}};
}

/// Delivers digests of \p incarnation from \p now on until one is accepted. Returns when.
time_point time_of_acceptance(peer_table& peers, std::uint64_t incarnation, time_point now) {
    const time_point end = now + seconds(60);
    for (std::uint64_t sequence = 1; now < end; ++sequence, now += repeat_interval) {
        if (peers.accept(digest_of(incarnation, sequence), now)) {
            break;
        }
    }
    return now;
}

/// The state at a daemon that heard one run of "h" until \p silent_since and then another.
peer_table make_restarted(std::uint64_t before, std::uint64_t after, time_point silent_since) {
    peer_table peers;
    peers.accept(digest_of(before, 100), silent_since);
    time_of_acceptance(peers, after, silent_since + milliseconds(200));
    return peers;
}

void check_unregistered() {
    const time_point start{};
    for (const auto& [before, after] :
         {std::pair(later_clock, earlier_clock), std::pair(earlier_clock, later_clock)}) {
        peer_table peers;
        peers.accept(digest_of(before, 100), start);
        const time_point accepted = time_of_acceptance(peers, after, start + milliseconds(200));
        require(accepted - start <= peer_table::replacement_silence + repeat_interval,
                "a restarted daemon is heard without the store, whatever its clock");
        require(peers.incarnation_of("h") == after, "the incarnation is that of the later run");
    }
}

void check_registered() {
    const time_point start{};
    peer_table peers;
    peers.accept(digest_of(later_clock, 100), start);
    peers.set_registered(registered_as(earlier_clock));
    require(peers.accept(digest_of(earlier_clock, 1), start + milliseconds(10)),
            "a daemon that has registered with an earlier clock is heard at once");
}

void check_stale_registration() {
    const time_point start{};
    peer_table peers = make_restarted(later_clock, earlier_clock, start);
    peers.set_registered(registered_as(later_clock));
    require(!peers.accept(digest_of(later_clock, 200), start + seconds(2)),
            "a registration of the earlier run, which may be out of date or written late, does "
            "not displace the later run");
}

void check_late_digests() {
    rc::check("late digests of an earlier run displace nothing", [] {
        const time_point start{};
        const bool is_set_back = *rc::gen::arbitrary<bool>();
        const std::uint64_t before = is_set_back ? later_clock : earlier_clock;
        const std::uint64_t after = is_set_back ? earlier_clock : later_clock;
        peer_table peers = make_restarted(before, after, start);
        time_point now = start + seconds(2);
        std::uint64_t sequence = 1000;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
        for (const int step : steps) {
            // The later run is heard now and then, with losses of a few seconds.
            if (step % 4 == 0) {
                RC_ASSERT(peers.accept(digest_of(after, ++sequence), now));
            } else {
                RC_ASSERT(!peers.accept(digest_of(before, static_cast<std::uint64_t>(step)), now));
            }
            const bool is_near_return = peers.heard_within("h", seconds(14), now);
            now += is_near_return ? milliseconds(step) : duration::zero();
        }
        RC_ASSERT(peers.incarnation_of("h") == after);
    });
}

void check_two_daemons_of_one_name() {
    rc::check("two daemons of one name do not replace each other in turn", [] {
        peer_table peers;
        time_point now{};
        int changes = 0;
        std::optional<std::uint64_t> heard;
        // A third of the datagrams is lost.
        const auto lost = *rc::gen::container<std::vector<bool>>(
            200, rc::gen::map(rc::gen::inRange(0, 3), [](int i) { return i == 0; }));
        for (std::size_t i = 0; i < lost.size(); ++i, now += repeat_interval / 2) {
            const std::uint64_t sender = i % 2 == 0 ? earlier_clock : later_clock;
            // Each registers anew when it finds the registration of the other one.
            peers.set_registered(registered_as(i / 10 % 2 == 0 ? earlier_clock : later_clock));
            if (!lost[i]) {
                peers.accept(digest_of(sender, i + 1), now);
            }
            changes += peers.incarnation_of("h") != heard ? 1 : 0;
            heard = peers.incarnation_of("h");
        }
        // The first one that is heard, and its successor.
        RC_ASSERT(changes <= 2);
    });
}

void check_stopped() {
    const time_point start{};
    peer_table peers;
    load_digest last = digest_of(later_clock, 9);
    peers.accept(digest_of(later_clock, 7), start);
    last.is_final = true;
    require(peers.accept(last, start + milliseconds(10)), "a final digest is newer");
    require(!peers.heard_within("h", seconds(1), start + milliseconds(10)),
            "a daemon that has stopped is not heard");
    require(!peers.accept(digest_of(later_clock, 8), start + milliseconds(70)),
            "a digest that a gateway delivers after the final one is rejected");
    require(peers.accept(digest_of(earlier_clock, 1), start + milliseconds(80)),
            "another run is heard at once after a final digest");
    require(!peers.accept(last, start + milliseconds(90)) &&
                peers.heard_within("h", seconds(1), start + milliseconds(90)),
            "a late final digest of the earlier run does not end the later one");
}

void check_return() {
    const time_point start{};
    peer_table peers = make_restarted(earlier_clock, later_clock, start);
    const time_point accepted = time_of_acceptance(peers, earlier_clock, start + seconds(2));
    require(accepted - start <= seconds(2) + peer_table::return_silence + repeat_interval,
            "a daemon that outlives another one of its name is heard again");
}

} // namespace

int main() {
    check_unregistered();
    check_registered();
    check_stale_registration();
    check_late_digests();
    check_two_daemons_of_one_name();
    check_stopped();
    check_return();
    return eelgrassdoor::test::finish();
}
