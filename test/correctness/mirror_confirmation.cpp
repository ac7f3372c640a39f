/// \file
/// Guards against an answer of the store that is older than the question it is taken to answer.
#include "store/mirror_confirmation.hpp"

#include "check.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace {

using namespace eelgrassdoor;
using eelgrassdoor::test::require;
using store::mirror_confirmation;

constexpr duration step = milliseconds(1);
/// Steps of the event loop in which a question begins its call.
constexpr int max_steps = 20;

/// A confirmation whose calls end when the test says so.
struct fixture {
    net::asio::io_context loop{1};
    net::asio::executor_work_guard<net::asio::io_context::executor_type> work{loop.get_executor()};
    time_point now{};
    /// Number of calls to the store, and how many of these have ended.
    int calls = 0;
    int ended = 0;
    bool is_answered = true;
    mirror_confirmation confirmation{loop.get_executor(), [this] { return now; },
                                     [this] { return call(); }};

    net::task<bool> call() {
        const int number = ++calls;
        while (ended < number) {
            co_await net::sleep_for(step);
        }
        co_return is_answered;
    }
    /// Asks whether the replica holds what was acknowledged before \p since.
    std::shared_ptr<std::optional<bool>> ask(time_point since) {
        auto out = std::make_shared<std::optional<bool>>();
        net::asio::co_spawn(loop, confirmation.confirm(since),
                            [out](const std::exception_ptr& failure, bool confirmed) {
                                require(failure == nullptr, "no exception is thrown");
                                *out = confirmed;
                            });
        // Waits by the paused clock never leave the loop without work.
        for (int i = 0; i < max_steps; ++i) {
            loop.poll_one();
        }
        return out;
    }
    void run_until(const std::string& what, const std::function<bool()>& condition) {
        const time_point end = steady_clock()() + seconds(10);
        while (!condition() && steady_clock()() < end) {
            loop.run_one_for(step);
        }
        require(condition(), what);
    }
    bool answer(const std::shared_ptr<std::optional<bool>>& asked) {
        run_until("the question is answered", [&] { return asked->has_value(); });
        return asked->value_or(false);
    }
};

void check_age() {
    fixture f;
    f.ended = 1;
    const time_point first = f.now;
    require(f.answer(f.ask(first)) && f.calls == 1, "the store is asked");
    f.now += seconds(1);
    require(f.answer(f.ask(first)) && f.calls == 1, "an answer that is recent enough is reused");
    f.ended = 2;
    require(f.answer(f.ask(f.now)) && f.calls == 2, "the store is asked about what came since");
}

/// A daemon that was stopped reads the answer to a call from before the stop.
void check_call_from_before() {
    fixture f;
    const auto early = f.ask(f.now);
    f.now += milliseconds(100);
    const auto late = f.ask(f.now);
    require(f.calls == 1, "one call is out at a time");
    f.ended = 1;
    require(f.answer(early), "the first call answers the question that came before it");
    f.run_until("the store is asked again", [&] { return f.calls == 2; });
    require(!late->has_value(), "it does not answer the question that came after it");
    f.ended = 2;
    require(f.answer(late), "the second call answers that");
}

void check_failure() {
    fixture f;
    f.is_answered = false;
    f.ended = 1;
    require(!f.answer(f.ask(f.now)) && f.calls == 1, "no answer confirms nothing");
    f.now += mirror_confirmation::retry_interval / 2;
    require(!f.answer(f.ask(time_point{})) && f.calls == 1, "the store is not asked at once again");
    f.now += mirror_confirmation::retry_interval;
    f.is_answered = true;
    f.ended = 2;
    require(f.answer(f.ask(time_point{})) && f.calls == 2, "it is asked again after a while");
}

void check_silence() {
    fixture f;
    const auto asked = f.ask(f.now);
    f.now += mirror_confirmation::timeout;
    require(!f.answer(asked), "a silent store confirms nothing");
}

} // namespace

int main() {
    check_age();
    check_call_from_before();
    check_failure();
    check_silence();
    return eelgrassdoor::test::finish();
}
