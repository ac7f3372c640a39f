/// \file
/// Requests with a new first part hold a second part that crashes engines; a few seconds later
/// sound requests with the same first part come as well.
#include "base/text.hpp"
#include "stream_client.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::review;

constexpr std::string_view crashing_part = "bad0";
/// contactMs of the deployment.
constexpr duration contact_time = seconds(3);
constexpr duration deadline = milliseconds(5000);
/// Crashes from which the rule counts.
constexpr std::size_t counted_crashes = 5;
/// Fewer requests are not judged.
constexpr int min_requests = 20;

constexpr int usual_requests = 40;
constexpr duration usual_interval = milliseconds(100);
constexpr duration crashing_interval = milliseconds(400);
constexpr duration crashing_time = seconds(20);
/// When sound requests with the new first part come, counted from the first that crashes an engine.
constexpr duration sound_begin = seconds(6);
constexpr duration sound_interval = milliseconds(200);

struct first_tries {
    int sent = 0;
    int begun = 0;
};

/// Sends a sound request and counts it in \p tries if that is given.
net::task<> send_sound(fleet& all, std::string attempt, std::string first_part, std::size_t host,
                       first_tries* tries) {
    stream state{.attempt = attempt};
    net::http_request request = stream_request(attempt, deadline);
    request.headers.set("Prompt-Prefix", str_cat(first_part, ":100,good0:100,", attempt, ":250"));
    const stream_answer answer =
        co_await read_stream(all, host, std::move(request), state, steady_clock()() + deadline);
    const bool has_begun = answer.status == 200 && answer.first_event == 1;
    if (tries != nullptr) {
        ++tries->sent;
        tries->begun += has_begun ? 1 : 0;
    }
    all.record(str_cat("sound request ", attempt, " with first part ", first_part, ": answer ",
                       answer.status, ", first event ", answer.first_event));
}

net::task<> send_crashing(fleet& all, std::string attempt, std::size_t host) {
    stream state{.attempt = attempt};
    net::http_request request = stream_request(attempt, deadline);
    request.headers.set("Prompt-Prefix",
                        str_cat("new0:100,", crashing_part, ":100,", attempt, ":250"));
    const stream_answer answer =
        co_await read_stream(all, host, std::move(request), state, steady_clock()() + deadline);
    all.record(str_cat("request ", attempt, " with the crashing part: answer ", answer.status));
}

net::task<> send_all_crashing(fleet& all, time_point end) {
    for (std::size_t i = 0; steady_clock()() < end; ++i) {
        all.spawn(send_crashing(all, str_cat("c5a7", i), i % all.entries().size()));
        co_await all.wait(crashing_interval);
    }
}

/// When the fifth crash was, or the last if there were fewer; nothing without one.
std::optional<time_point> last_counted_crash(fleet& all) {
    std::vector<time_point> crashes;
    for (const auto& each : all.engines()) {
        crashes.insert(crashes.end(), each->crashes().begin(), each->crashes().end());
    }
    if (crashes.empty()) {
        return std::nullopt;
    }
    std::sort(crashes.begin(), crashes.end());
    return crashes[std::min(crashes.size(), counted_crashes) - 1];
}

net::task<int> run(fleet& all) {
    const std::size_t hosts = all.entries().size();
    first_tries usual;
    for (std::size_t i = 0; i < usual_requests; ++i) {
        all.spawn(send_sound(all, str_cat("a1e0", i), "old0", i % hosts, &usual));
        co_await all.wait(usual_interval);
    }
    co_await all.wait(seconds(2));
    const time_point began = steady_clock()();
    const time_point end = began + crashing_time;
    all.record("requests with the new first part come");
    all.spawn(send_all_crashing(all, end));
    co_await all.wait(sound_begin);
    first_tries judged;
    for (std::size_t i = 0; steady_clock()() < end; ++i) {
        const time_point from =
            last_counted_crash(all).value_or(began + seconds(1)) + 2 * contact_time;
        all.spawn(send_sound(all, str_cat("b2f1", i), "new0", i % hosts,
                             steady_clock()() >= from ? &judged : nullptr));
        co_await all.wait(sound_interval);
    }
    co_await all.wait(deadline + milliseconds(200));
    all.record(str_cat("sound requests that began at the first attempt: ", usual.begun, " of ",
                       usual.sent, " before, ", judged.begun, " of ", judged.sent,
                       " from 6 s after the fifth crash on"));
    if (usual.sent < min_requests || judged.sent < min_requests || usual.begun == 0) {
        co_return could_not_run;
    }
    const double share = static_cast<double>(judged.begun) / judged.sent;
    const double usual_share = static_cast<double>(usual.begun) / usual.sent;
    co_return share < usual_share / 2 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    run_case(argc, argv,
             {.engines = 9, .crashing_part = has_trouble() ? std::string(crashing_part) : ""}, run);
}
