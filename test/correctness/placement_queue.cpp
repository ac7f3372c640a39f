/// \file
/// Guards against a queue for full targets in which a customer with many requests starves another,
/// late requests hold up those in time, or requests wait that cannot be served; replays loads above
/// the capacity against the rule that refuses at once.
#include "check.hpp"
#include "stand_in/full_targets_model.hpp"

#include <cstdio>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;
using routing::placement_capacity;
using routing::placement_id;
using routing::placement_queue;
using routing::placement_request;

const time_point start = time_point() + std::chrono::hours(1);
/// Places become free every 5 ms.
constexpr placement_capacity fast{.places = 100, .held = 100};

placement_request request_of(const std::string& customer, duration elapsed = {}) {
    return {.customer = customer,
            .timing = {.time_left = seconds(5) - elapsed,
                       .elapsed = elapsed,
                       .objective = milliseconds(300),
                       .service_time = milliseconds(500)},
            .wake = [] {}};
}

std::string order_of(placement_queue& queue, std::map<placement_id, std::string>& names,
                     time_point now) {
    std::string out;
    while (const auto next = queue.first(now)) {
        out += names[*next];
        queue.leave(*next);
    }
    return out;
}

void check_order() {
    random_source random(1);
    placement_queue queue;
    std::map<placement_id, std::string> names;
    const auto add = [&](const std::string& name, placement_request request) {
        names[queue.enqueue(std::move(request), fast, start, random).id] = name;
    };
    add("l", request_of("a", seconds(1)));
    add("1", request_of("hot"));
    add("2", request_of("hot"));
    add("3", request_of("hot"));
    add("s", request_of("small"));
    placement_request urgent = request_of("c");
    urgent.customer_priority = -1;
    urgent.route_priority = 5;
    add("u", std::move(urgent));
    const std::string order = order_of(queue, names, start);
    require(order == "u1s23l", "in time first, then priority, then fair by customer: " + order);

    add("w", request_of("hot"));
    add("r", request_of("a", seconds(1)));
    const std::string later = order_of(queue, names, start + milliseconds(151));
    require(later.size() == 2, "a request that became late still waits: " + later);
}

void check_refusals() {
    random_source random(1);
    placement_queue queue({.max_waiting = 4});
    const auto none = queue.enqueue(request_of("a"), {.places = 0}, start, random);
    require(none.id == 0 && none.retry_after > duration::zero(), "without places none waits");
    const placement_capacity slow{.places = 1, .held = 1};
    const auto first = queue.enqueue(request_of("a"), slow, start, random);
    require(first.id == 0 && first.predicted == milliseconds(500),
            "a first attempt that misses its objective is refused at once");
    require(first.retry_after >= first.predicted, "the delay is not shorter than the drain");
    const auto next = queue.enqueue(request_of("a"), slow, start, random);
    require(next.retry_after > first.retry_after, "refused callers come back one after the other");
    const auto again = queue.enqueue(request_of("a", seconds(1)), slow, start, random);
    require(again.id != 0, "a retry waits");
    require(queue.end_of_wait(again.id) == start + milliseconds(3500),
            "no request waits when too little time for its service is left");
    const auto hopeless = queue.enqueue(request_of("a", milliseconds(4400)), slow, start, random);
    require(hopeless.id == 0, "a request without time for its service does not wait");

    std::vector<placement_id> hot;
    for (int i = 0; i < 3; ++i) {
        hot.push_back(queue.enqueue(request_of("hot"), fast, start, random).id);
    }
    require(queue.enqueue(request_of("hot"), fast, start, random).id == 0,
            "the customer with the most requests is refused when the queue is full");
    require(queue.enqueue(request_of("small"), fast, start, random).id != 0 &&
                !queue.contains(hot.back()) && queue.size() == 4,
            "another customer takes the place of its last request");
    queue.leave(hot.front());
    queue.leave(hot.front());
    require(queue.size() == 3, "a caller that leaves frees its place once");
    const auto order_first = queue.first(start);
    require(order_first && queue.next_after(*order_first, start).has_value(),
            "a request that cannot use a place passes it on");
}

struct comparison {
    full_targets_outcome today;
    full_targets_outcome queued;
};

/// Part of the requests by which two sums over the seeds differ by chance: with 8, 24 and 96 seeds
/// the gain in the pulses was -0.003, 0.006 and 0.002.
constexpr double chance = 0.01;
/// Seeds over which the outcomes are summed.
constexpr std::uint64_t seeds = 24;

full_targets_outcome run_all(full_targets_options options, full_rule rule, int& most_held) {
    full_targets_outcome sum;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        full_targets_model model(options, rule);
        sum += model.run();
        most_held = std::max(most_held, model.most_held());
    }
    return sum;
}

comparison replay(const std::string& name, const full_targets_options& options) {
    int most_today = 0;
    int most_queued = 0;
    comparison out{run_all(options, full_rule::refuse_at_once, most_today),
                   run_all(options, full_rule::queue, most_queued)};
    std::printf("%s: in time %.4f -> %.4f, served %.4f -> %.4f, most at a target %d -> %d\n",
                name.c_str(), out.today.in_time_share(), out.queued.in_time_share(),
                out.today.served_share(), out.queued.served_share(), most_today, most_queued);
    return out;
}

/// Pulses of 1.85 of the mean for 2.2 s after 3 s at 0.378 of it.
double pulse(duration at) {
    constexpr double period = 5.2;
    double phase = to_seconds(at);
    phase -= period * static_cast<int>(phase / period);
    return phase < 3.0 ? 0.378 : 1.85;
}

/// A zone cut off with 15 of 45 targets and a third of the callers.
void check_pulses() {
    full_targets_options options;
    options.rate = [](int, duration at) { return 8.5 * pulse(at); };
    const comparison got = replay("pulses at 15 targets", options);
    require(got.queued.in_time_share() >= got.today.in_time_share() - chance,
            "pulses: not fewer are in time than with refusals at once");
    require(got.queued.served_share() >= got.today.served_share(), "pulses: not fewer are served");
}

/// Callers of another zone return at once.
void check_return() {
    full_targets_options options;
    options.length = seconds(10);
    options.rate = [](int, duration at) {
        return at >= seconds(3) && at < milliseconds(3400) ? 60.0 : 7.0;
    };
    const comparison got = replay("many at once", options);
    require(got.queued.in_time_share() >= got.today.in_time_share() - chance,
            "a return: not fewer are in time");
    require(got.queued.served_share() >= got.today.served_share(), "a return: not fewer served");
}

/// One customer sends 7.5 times its usual.
void check_hot_customer() {
    full_targets_options options;
    options.length = seconds(12);
    options.rate = [](int customer, duration at) {
        const bool is_hot = customer == 0 && at >= seconds(3) && at < milliseconds(9500);
        return customer == 0 ? (is_hot ? 7.5 : 1.0) * 24.0 : 9.5;
    };
    const comparison got = replay("one customer at 7.5 times", options);
    double others_today = 1;
    double others_queued = 1;
    for (std::size_t i = 1; i < got.queued.sent.size(); ++i) {
        others_today = std::min(others_today, got.today.in_time_share_of(i));
        others_queued = std::min(others_queued, got.queued.in_time_share_of(i));
    }
    std::printf("  hot %.4f -> %.4f, worst of the others %.4f -> %.4f\n",
                got.today.in_time_share_of(0), got.queued.in_time_share_of(0), others_today,
                others_queued);
    require(others_queued > others_today, "hot: the others are in time more often");
    require(others_queued > got.queued.in_time_share_of(0), "hot: the hot customer pays first");
}

} // namespace

int main() {
    check_order();
    check_refusals();
    check_pulses();
    check_return();
    check_hot_customer();
    return finish();
}
