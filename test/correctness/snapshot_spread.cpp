/// \file
/// Replays a large configuration that reaches one daemon of a zone first, over thin links: all
/// other daemons must have it before it has to be in force.
#include "check.hpp"
#include "fleet/snapshot_sources.hpp"
#include "fleet/transfer_limit.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::fleet;
using eelgrassdoor::test::require;

constexpr std::uint64_t new_revision = 2;

/// The daemons of one zone. Each has a link of its own, which the transfers it serves share
/// equally.
class zone_model {
public:
    struct options {
        std::size_t daemons = 0;
        std::size_t snapshot_bytes = 0;
        double link_bytes_per_second = 0;
        std::size_t max_transfer_bytes = 384 * 1024;
        /// Interval at which a daemon tells the others which revision it has.
        duration digest_interval = milliseconds(500);
        duration busy_delay = milliseconds(150);
    };

    explicit zone_model(options chosen)
        : m_options(chosen), m_daemons(chosen.daemons, daemon(chosen.max_transfer_bytes)) {
        m_daemons[0].has_snapshot = true;
    }

    /// Returns the time at which the last daemon has the snapshot; duration::max() if one has none
    /// at \p limit.
    duration spread(duration limit) {
        for (duration now{}; now < limit; now += step) {
            send_digests(now);
            start_transfers(now);
            move_bytes();
            const bool done = std::all_of(m_daemons.begin(), m_daemons.end(),
                                          [](const daemon& each) { return each.has_snapshot; });
            if (done) {
                return now + step;
            }
        }
        return duration::max();
    }

private:
    static constexpr duration step = milliseconds(5);

    struct daemon {
        explicit daemon(std::size_t max_transfer_bytes) : transfers(max_transfer_bytes) {}
        bool has_snapshot = false;
        snapshot_sources sources;
        transfer_limit transfers;
        /// Index of the daemon that it fetches from, and the bytes that are missing.
        std::size_t fetches_from = none;
        double missing_bytes = 0;
    };
    static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

    void send_digests(duration now) {
        for (std::size_t sender = 0; sender < m_daemons.size(); ++sender) {
            // Daemons send at different moments.
            const bool is_due =
                (now + sender * step) % m_options.digest_interval == duration::zero();
            if (!is_due || !m_daemons[sender].has_snapshot) {
                continue;
            }
            for (daemon& receiver : m_daemons) {
                receiver.sources.offer({std::to_string(sender), "p/", new_revision, true},
                                       time_point(now));
            }
        }
    }

    void start_transfers(duration now) {
        for (daemon& each : m_daemons) {
            if (each.has_snapshot || each.fetches_from != none) {
                continue;
            }
            const auto next = each.sources.next_attempt(new_revision - 1);
            if (!next || *next > time_point(now)) {
                continue;
            }
            const newer_revision chosen = each.sources.choose(time_point(now), m_random);
            const std::size_t index = std::stoul(chosen.endpoint);
            if (m_daemons[index].transfers.allows(m_options.snapshot_bytes)) {
                m_daemons[index].transfers.begin(m_options.snapshot_bytes);
                each.fetches_from = index;
                each.missing_bytes = static_cast<double>(m_options.snapshot_bytes);
            } else {
                each.sources.defer(chosen.endpoint, time_point(now + m_options.busy_delay));
            }
        }
    }

    void move_bytes() {
        std::map<std::size_t, double> receivers;
        for (const daemon& each : m_daemons) {
            receivers[each.fetches_from] += 1;
        }
        const double bytes = m_options.link_bytes_per_second * to_seconds(step);
        for (daemon& each : m_daemons) {
            if (each.fetches_from == none) {
                continue;
            }
            each.missing_bytes -= bytes / receivers[each.fetches_from];
            if (each.missing_bytes <= 0) {
                m_daemons[each.fetches_from].transfers.end(m_options.snapshot_bytes);
                each.fetches_from = none;
                each.has_snapshot = true;
            }
        }
    }

    options m_options;
    std::vector<daemon> m_daemons;
    random_source m_random{7};
};

/// 30 Mbit/s.
constexpr double thin_link = 30e6 / 8;

void check_spread() {
    // The users' bound for fleets of this size; a copy takes a third of a second.
    const duration zone_of_14 =
        zone_model({.daemons = 14, .snapshot_bytes = 1'200'000, .link_bytes_per_second = thin_link})
            .spread(seconds(3));
    require(zone_of_14 <= seconds(3), "14 daemons have a snapshot of 1.2 MB within 3 s");
    // The size to design for: 42 daemons in each zone, and a bound of 8 s.
    const duration zone_of_42 =
        zone_model({.daemons = 42, .snapshot_bytes = 3'000'000, .link_bytes_per_second = thin_link})
            .spread(seconds(8));
    require(zone_of_42 <= seconds(8), "42 daemons have a snapshot of 3 MB within 8 s");
}

void check_unlimited_sources() {
    // Without a limit all fetch from the one source until the last byte of each has been sent.
    const duration unlimited =
        zone_model({.daemons = 14,
                    .snapshot_bytes = 1'200'000,
                    .link_bytes_per_second = thin_link,
                    .max_transfer_bytes = std::numeric_limits<std::size_t>::max()})
            .spread(seconds(20));
    require(unlimited > seconds(3), "the model shows the overload of a source without a limit");
}

void check_choice() {
    random_source random(1);
    const time_point start{};
    snapshot_sources sources;
    require(!sources.next_attempt(1), "without a source there is nothing to fetch");
    sources.offer({"far", "p/", 9, false}, start + milliseconds(250));
    require(sources.next_attempt(1) == start + milliseconds(250),
            "a source of another zone is asked after its delay");
    sources.offer({"near", "p/", 5, true}, start);
    const time_point late = start + seconds(1);
    require(sources.choose(late, random).endpoint == "near",
            "a source of the own zone goes before a newer one elsewhere");
    sources.offer({"newest", "p/", 7, true}, start);
    require(sources.choose(late, random).endpoint == "newest", "the highest revision goes first");
    sources.defer("newest", late + seconds(1));
    require(sources.choose(late, random).endpoint == "near", "a busy source is passed over");
    require(sources.next_attempt(5) == late + seconds(1),
            "sources without a newer revision are forgotten");
    sources.remove("newest");
    require(sources.next_attempt(5) == start + milliseconds(250),
            "without a source in the own zone the others are asked");
}

void check_limit() {
    transfer_limit limit(100);
    require(limit.allows(500), "a large transfer may be sent alone");
    limit.begin(500);
    require(!limit.allows(1), "nothing is sent beside a transfer over the limit");
    limit.end(500);
    limit.begin(60);
    require(limit.allows(40) && !limit.allows(41), "transfers together stay within the limit");
}

} // namespace

int main() {
    check_choice();
    check_limit();
    check_spread();
    check_unlimited_sources();
    return eelgrassdoor::test::finish();
}
