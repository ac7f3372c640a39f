/// \file
/// Guards against slow readers that are taken for dead paths, and against dead paths that are not
/// noticed.
#include "net/path_watch.hpp"

#include "check.hpp"

namespace {

using namespace eelgrassdoor;
using net::path_watch;
using test::property;
using test::require;

/// After which the platform considers a silent connection dead.
constexpr duration dead_after = seconds(3);

/// Records states at the interval of the watch until it reports a dead path, for a minute at most.
/// Returns when that was, from the first state on; duration::max() if never.
template <typename State> duration dead_at(manual_clock& clock, path_watch& watch, State state) {
    const time_point first = clock.now();
    while (clock.now() - first < seconds(60)) {
        if (watch.is_dead(state(clock.now()), clock.now())) {
            return clock.now() - first;
        }
        clock.advance(path_watch::interval);
    }
    return duration::max();
}

void check_silence() {
    manual_clock clock;
    path_watch watch;
    const time_point last = clock.now() - seconds(30);
    const duration at = dead_at(clock, watch, [&](time_point now) {
        return net::send_state{.awaits_acknowledgement = true, .since_acknowledgement = now - last};
    });
    require(at <= dead_after - path_watch::interval,
            "bytes that nothing acknowledges end the connection within three seconds");
    require(at >= seconds(2), "a connection that was idle before has time to be acknowledged");
}

/// The kernel does not tell when the latest acknowledgement arrived.
void check_progress() {
    manual_clock clock;
    path_watch watch;
    std::size_t acknowledged = 0;
    const time_point start = clock.now();
    const duration at = dead_at(clock, watch, [&](time_point now) {
        acknowledged += now - start < seconds(20) ? 100 : 0;
        return net::send_state{.awaits_acknowledgement = true, .acknowledged_bytes = acknowledged};
    });
    require(at > seconds(20) && at <= seconds(20) + dead_after,
            "bytes that are acknowledged show that the path lives, for as long as they are");
}

void check_slow_reader() {
    manual_clock clock;
    path_watch watch;
    // The window is shut; probes that back off are on their way now and then, and each is answered.
    const time_point start = clock.now();
    time_point last = start;
    duration backoff = milliseconds(200);
    const duration at = dead_at(clock, watch, [&](time_point now) {
        const bool probes = now - last >= backoff;
        const net::send_state state{.awaits_acknowledgement = probes,
                                    .since_acknowledgement = now - last};
        if (probes) {
            last = now;
            backoff *= 2;
        }
        return state;
    });
    require(at == duration::max(), "a shut window whose probes are answered ends nothing");
}

void check_any_silence() {
    property("a path is dead after three seconds without an acknowledgement, and not before", [] {
        manual_clock clock;
        path_watch watch;
        // Acknowledged for a while, in any rhythm below the bound.
        time_point last = clock.now();
        const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1900));
        for (const int gap : gaps) {
            const time_point next = clock.now() + milliseconds(gap);
            while (clock.now() < next) {
                RC_ASSERT(!watch.is_dead(
                    {.awaits_acknowledgement = true, .since_acknowledgement = clock.now() - last},
                    clock.now()));
                clock.advance(path_watch::interval);
            }
            last = std::max(next, clock.now() - path_watch::interval);
        }
        const duration at = dead_at(clock, watch, [&](time_point now) {
            return net::send_state{.awaits_acknowledgement = true,
                                   .since_acknowledgement = now - last};
        });
        RC_ASSERT(at <= dead_after);
    });
}

} // namespace

int main() {
    check_silence();
    check_progress();
    check_slow_reader();
    check_any_silence();
    return test::finish();
}
