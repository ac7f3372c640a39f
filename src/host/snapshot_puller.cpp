#include "host/snapshot_puller.hpp"

#include "base/compression.hpp"
#include "base/text.hpp"
#include "net/notification.hpp"
#include "store/snapshot_codec.hpp"

namespace eelgrassdoor::host {

namespace {

/// Delay within a zone, so that successive changes are fetched together.
constexpr duration same_zone_pull_delay = milliseconds(15);
/// Delay across zones: by then the change has usually arrived from a daemon of the same zone or
/// from the key-value service.
constexpr duration other_zone_pull_delay = milliseconds(250);
/// A source that sends nothing for this long is given up.
constexpr duration max_silence = milliseconds(1000);
/// Time allowed for a whole transfer: that within which a configuration must be in force. Ends
/// transfers from a source that sends a few bytes now and then.
constexpr duration transfer_timeout = seconds(8);
/// Delay before a busy source is asked again; a random part spreads the attempts of many daemons.
constexpr duration min_busy_delay = milliseconds(50);
constexpr duration busy_delay_spread = milliseconds(100);
/// Maximum size of a decompressed snapshot.
constexpr std::size_t max_snapshot_bytes = 64ULL * 1024 * 1024;

} // namespace

snapshot_puller::snapshot_puller(serving::service_context& context, store::mirror& mirrors)
    : m_context(context), m_mirror(mirrors), m_client(context.executor) {}

void snapshot_puller::pull(const fleet::newer_revision& newer) {
    prefix_state& state = m_prefixes[newer.prefix];
    duration delay{};
    if (m_mirror.revision(newer.prefix) != 0) {
        delay = newer.same_zone ? same_zone_pull_delay : other_zone_pull_delay;
    }
    state.sources.offer(newer, m_context.clock() + delay);
    if (!state.pulling) {
        state.pulling = true;
        net::asio::co_spawn(m_context.executor, pull_newest(newer.prefix), net::asio::detached);
    }
}

net::task<> snapshot_puller::pull_newest(std::string prefix) {
    prefix_state& state = m_prefixes[prefix];
    while (const auto next = state.sources.next_attempt(m_mirror.revision(prefix))) {
        const time_point now = m_context.clock();
        if (*next > now) {
            co_await net::sleep_for(*next - now);
            continue;
        }
        const fleet::newer_revision newer = state.sources.choose(now, m_context.random);
        const fetch_outcome outcome = co_await fetch(newer);
        if (outcome == fetch_outcome::busy) {
            const auto spread = m_context.random.uniform() * busy_delay_spread;
            state.sources.defer(newer.endpoint, m_context.clock() + min_busy_delay +
                                                    std::chrono::duration_cast<duration>(spread));
        } else if (outcome == fetch_outcome::failed) {
            state.sources.remove(newer.endpoint);
        }
    }
    state.pulling = false;
}

net::task<snapshot_puller::fetch_outcome>
snapshot_puller::fetch(const fleet::newer_revision& newer) {
    net::http_request request;
    request.method = "GET";
    request.target = str_cat(mirror_path, "?prefix=", newer.prefix, "&revision=", newer.revision);
    request.headers.set("Accept-Encoding", compressed_encoding);
    const time_point started = m_context.clock();
    const net::call_limits limits{
        .deadline = started + transfer_timeout, .max_silence = max_silence, .has_room = nullptr};
    const result<net::http_response> response =
        co_await m_client.call(newer.endpoint, std::move(request), limits);
    if (!response) {
        co_return fail(newer, response.error().message, started);
    }
    if (response.value().status == 503) {
        co_return fetch_outcome::busy;
    }
    if (response.value().status != 200) {
        co_return fail(newer, str_cat("status ", response.value().status), started);
    }
    co_return apply(newer, response.value(), started);
}

snapshot_puller::fetch_outcome snapshot_puller::apply(const fleet::newer_revision& newer,
                                                      const net::http_response& response,
                                                      time_point started) {
    const std::string elapsed = elapsed_ms(started);
    std::optional<store::mirror_snapshot> snapshot;
    if (response.headers.get("Content-Encoding") == compressed_encoding) {
        const std::optional<std::string> body = decompress(response.body, max_snapshot_bytes);
        snapshot = body ? store::decode_snapshot(*body) : std::nullopt;
    } else {
        snapshot = store::decode_snapshot(response.body);
    }
    if (!snapshot) {
        return fail(newer, "the snapshot cannot be decoded", started);
    }
    m_mirror.apply_snapshot(*snapshot);
    m_context.log.write(observe::event::mirror_pulled, newer.prefix,
                        {{"from", newer.endpoint},
                         {"revision", std::to_string(snapshot->revision)},
                         {"bytes", std::to_string(response.body.size())},
                         {"elapsed_ms", elapsed}});
    // A daemon of an older build sends what it has, even if it only forwarded the notice.
    return snapshot->revision < newer.revision ? fetch_outcome::failed : fetch_outcome::delivered;
}

snapshot_puller::fetch_outcome snapshot_puller::fail(const fleet::newer_revision& newer,
                                                     std::string_view reason, time_point started) {
    m_context.metrics.count("mirror_pull_failed");
    m_context.log.write(observe::event::mirror_pull_failed, newer.prefix,
                        {{"from", newer.endpoint},
                         {"revision", std::to_string(newer.revision)},
                         {"reason", std::string(reason)},
                         {"elapsed_ms", elapsed_ms(started)}});
    return fetch_outcome::failed;
}

std::string snapshot_puller::elapsed_ms(time_point started) const {
    return std::to_string(to_ms(m_context.clock() - started));
}

} // namespace eelgrassdoor::host
