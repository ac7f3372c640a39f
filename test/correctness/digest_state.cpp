/// \file
/// Tests the state kept from other daemons' digests, and when digests are sent to a group of
/// daemons.
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

/// The waiting tokens when only this incarnation owns jobs.
std::uint64_t sum_waiting(const peer_table& peers, std::uint64_t key, std::uint64_t incarnation) {
    return peers.sum_waiting_tokens(
        key, [=](std::string_view, std::uint64_t each) { return each == incarnation; });
}

void check_peer_table() {
    const time_point start{};
    peer_table peers;
    load_digest first = digest_of(5, 2);
    first.reaches_store = true;
    first.waiting = {{7, 100}, {8, 1}};
    require(peers.accept(first, start), "the first digest of a daemon is accepted");
    require(!peers.accept(first, start + seconds(1)), "a duplicate digest is rejected");
    require(!peers.accept(digest_of(5, 1), start + seconds(1)),
            "a digest with a lower sequence number is rejected");
    require(!peers.accept(digest_of(4, 9), start + seconds(1)),
            "a digest of an earlier incarnation is rejected");
    require(!peers.heard_within("h", milliseconds(500), start + seconds(1)),
            "rejected digests do not count as hearing the daemon");
    require(peers.peer_reaches_store("h", seconds(1), start + seconds(1)) &&
                peers.any_peer_reaches_store(seconds(1), start + seconds(1)),
            "rejected digests do not replace whether the daemon reaches the store");
    require(sum_waiting(peers, 7, 5) == 100 && sum_waiting(peers, 9, 5) == 0,
            "waiting tokens are kept by customer and route");
    load_digest last = digest_of(5, 3);
    last.is_final = true;
    require(peers.accept(last, start + seconds(2)), "a final digest is reported as newer");
    require(!peers.heard_within("h", seconds(1), start + seconds(2)),
            "a final digest does not count as hearing the daemon");
    require(peers.accept(digest_of(6, 1), start + seconds(3)),
            "a digest of a later incarnation is accepted despite its lower sequence number");
    require(!peers.peer_reaches_store("h", seconds(1), start + seconds(3)) &&
                sum_waiting(peers, 7, 6) == 0,
            "a digest of a later incarnation replaces all state of the earlier one");
}

void check_send_intervals() {
    const send_intervals intervals;
    time_point now = time_point{} + seconds(100);
    peer_group small(intervals);
    require(small.mark_sent_if_due(now), "the first digest to a group is due at once");
    require(!small.mark_sent_if_due(now + intervals.repeat - milliseconds(1)),
            "an unchanged digest is not due before the repeat interval");
    require(small.mark_sent_if_due(now + intervals.repeat),
            "an unchanged digest is due after the repeat interval");
    now += intervals.repeat;
    small.mark_changed();
    require(!small.mark_sent_if_due(now + intervals.change - milliseconds(1)) &&
                small.mark_sent_if_due(now + intervals.change) && !small.has_change(),
            "a change is due after the change interval, and is cleared when it is sent");
    peer_group large(intervals);
    large.endpoints.resize(4 * intervals.peers_at_full_rate);
    (void)large.mark_sent_if_due(now);
    large.mark_changed();
    require(!large.mark_sent_if_due(now + 3 * intervals.change) &&
                large.mark_sent_if_due(now + 4 * intervals.change),
            "the change interval of a group four times the full-rate size is four times as long");
    large.mark_changed();
    large.clear_change();
    require(!large.mark_sent_if_due(now + 8 * intervals.change),
            "no digest is due for a change that was cleared");
}

void check_recent_senders() {
    const time_point start{};
    const net::udp::endpoint one(net::asio::ip::make_address("127.0.0.1"), 1);
    const net::udp::endpoint other(net::asio::ip::make_address("127.0.0.1"), 2);
    recent_senders senders;
    senders.record_datagram(one, start);
    require(senders.contains(one, start + recent_senders::direct_silence_timeout) &&
                !senders.contains(other, start),
            "only an endpoint that sent a datagram recently is contained");
    require(
        !senders.contains(one, start + recent_senders::direct_silence_timeout + milliseconds(1)),
        "an endpoint is no longer contained after direct_silence_timeout");
}

} // namespace

int main() {
    check_peer_table();
    check_send_intervals();
    check_recent_senders();
    return eelgrassdoor::test::finish();
}
