/// \file
/// What is kept of other daemons' digests, and when groups of daemons are told.
#include "check.hpp"
#include "fleet/peer_group.hpp"
#include "fleet/peer_table.hpp"
#include "fleet/recent_senders.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::fleet;
using eelgrassdoor::test::require;

load_digest digest_of(std::uint64_t incarnation, std::uint64_t sequence) {
    load_digest digest;
    digest.host = "h";
    digest.incarnation = incarnation;
    digest.sequence = sequence;
    return digest;
}

void check_peers() {
    const time_point start{};
    peer_table peers;
    load_digest first = digest_of(5, 2);
    first.reaches_store = true;
    first.waiting = {{7, 100}, {8, 1}};
    require(peers.take_in(first, start), "the first digest of a daemon is taken in");
    require(!peers.take_in(first, start + seconds(1)), "a second copy of it is not");
    require(!peers.take_in(digest_of(5, 1), start + seconds(1)), "nor an older one");
    require(!peers.take_in(digest_of(4, 9), start + seconds(1)), "nor one of an earlier start");
    require(!peers.heard_within("h", milliseconds(500), start + seconds(1)),
            "and they do not show that the daemon lives");
    require(peers.hears_with_store("h", seconds(1), start + seconds(1)) &&
                peers.any_with_store(seconds(1), start + seconds(1)),
            "the first one still tells that it reaches the store");
    require(peers.waiting(7) == 100 && peers.waiting(9) == 0, "and what waits there");
    load_digest last = digest_of(5, 3);
    last.ends = true;
    require(peers.take_in(last, start + seconds(2)), "its last word is news");
    require(!peers.heard_within("h", seconds(1), start + seconds(2)),
            "but does not show that it lives");
    require(peers.take_in(digest_of(6, 1), start + seconds(3)), "a later start begins anew");
    require(!peers.hears_with_store("h", seconds(1), start + seconds(3)) && peers.waiting(7) == 0,
            "with nothing of what the earlier one told");
}

void check_turns() {
    const tell_intervals intervals;
    time_point now = time_point{} + seconds(100);
    peer_group small(intervals);
    require(small.take_turn(now), "a group that was told nothing is told at once");
    require(!small.take_turn(now + intervals.repeat - milliseconds(1)),
            "what has not changed is repeated");
    require(small.take_turn(now + intervals.repeat), "in its interval");
    now += intervals.repeat;
    small.note_change();
    require(!small.take_turn(now + intervals.change - milliseconds(1)) &&
                small.take_turn(now + intervals.change) && !small.has_change(),
            "a change is told earlier, once");
    peer_group large(intervals);
    large.endpoints.resize(4 * intervals.peers_at_change);
    (void)large.take_turn(now);
    large.note_change();
    require(!large.take_turn(now + 3 * intervals.change) &&
                large.take_turn(now + 4 * intervals.change),
            "a group four times as large is told a quarter as often");
    large.note_change();
    large.forget_change();
    require(!large.take_turn(now + 8 * intervals.change), "a change may be told in another way");
}

void check_endpoints() {
    const time_point start{};
    const net::udp::endpoint one(net::asio::ip::make_address("127.0.0.1"), 1);
    const net::udp::endpoint other(net::asio::ip::make_address("127.0.0.1"), 2);
    heard_endpoints heard;
    heard.note(one, start);
    require(heard.contains(one, start + heard_endpoints::silence) && !heard.contains(other, start),
            "an endpoint that was heard lately is in reach");
    require(!heard.contains(one, start + heard_endpoints::silence + milliseconds(1)),
            "until it is silent");
}

} // namespace

int main() {
    check_peers();
    check_turns();
    check_endpoints();
    return eelgrassdoor::test::finish();
}
