/// \file
/// Guards against items that are sent by a knowledge of cancelled jobs that is too old.
#include "jobs/cancellation_news.hpp"

#include "check.hpp"

namespace {

using namespace eelgrassdoor;
using eelgrassdoor::test::require;
using jobs::cancellation_news;

constexpr duration max_delay = seconds(3);

/// The store answers when the event loop is polled, unless it is away.
struct fixture {
    net::asio::io_context loop{1};
    manual_clock clock;
    time_point confirmed_from = time_point::min();
    bool answers = true;
    bool is_reachable = true;
    int calls = 0;
    int confirmations = 0;
    cancellation_news news{
        loop.get_executor(),
        {.max_delay = max_delay,
         .clock = clock.reader(),
         .is_known = [this](time_point since) { return confirmed_from >= since; },
         .confirm = [this](time_point since) { return confirm(since); },
         .is_store_reachable = [this] { return is_reachable; },
         .on_confirmed = [this] { ++confirmations; }}};

    net::task<bool> confirm(time_point since) {
        ++calls;
        if (answers) {
            confirmed_from = since;
        }
        co_return answers;
    }
    void poll() {
        loop.restart();
        loop.poll();
    }
};

void check_age() {
    fixture f;
    require(!f.news.may_start() && !f.news.may_send(), "nothing is sent before the store answers");
    require(!f.news.may_start(), "a second item waits for the same call");
    f.poll();
    require(f.calls == 1 && f.confirmations == 1, "one call confirms what is known");
    require(f.news.may_start() && f.news.may_send(), "items start once it is confirmed");
    f.clock.advance(max_delay / 2 + milliseconds(1));
    require(!f.news.may_start(), "items do not start by knowledge of half of the allowed delay");
    require(f.news.may_send(), "an item that has started may be sent");
    f.poll();
    require(f.news.may_start() && f.calls == 2, "the store is asked again");
    f.clock.advance(max_delay * 3 / 4 + milliseconds(1));
    require(!f.news.may_send(), "an item whose connection took too long is not sent");
    require(f.calls == 2, "without an item to start the store is not asked");
}

void check_store_away() {
    fixture f;
    f.answers = false;
    require(!f.news.may_start(), "an item waits for the store");
    f.poll();
    require(f.confirmations == 0 && !f.news.may_start(),
            "items wait while others may reach the store and cancel jobs");
    f.is_reachable = false;
    require(f.news.may_start() && f.news.may_send(),
            "items are sent while no daemon reaches the store, as no job can be cancelled");
}

} // namespace

int main() {
    check_age();
    check_store_away();
    return eelgrassdoor::test::finish();
}
