/// \file
/// Guards against requests that the whole fleet refuses as crashing targets, after a partition of
/// one host has cut their connections.
#include "platform/fixture/partition_fixture.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// Time in which one daemon's evidence has reached the others several times.
constexpr duration observed_time = seconds(2);

class partition_checks : partition_fixture {
public:
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    [[nodiscard]] std::size_t received() const {
        std::size_t sum = 0;
        for (const scripted_engine* engine : m_engines) {
            sum += engine->received().size();
        }
        return sum;
    }

    net::task<> run_checks() {
        co_await start();
        for (scripted_engine* engine : m_engines) {
            engine->set_pause(milliseconds(300));
        }
        set_actions(engine_action::close_late);
        const std::size_t before = received();
        int ended = 0;
        for (int i = 0; i < 2; ++i) {
            net::asio::co_spawn(
                m_fleet.loop,
                [&]() -> net::task<> {
                    (void)co_await call(cut_off_host, "/t/x");
                    ++ended;
                },
                net::asio::detached);
        }
        co_await m_fleet.eventually("two targets have the request",
                                    [&] { return received() >= before + 2; });
        m_partitioned = true;
        co_await m_fleet.eventually("the requests at the host end", [&] { return ended == 2; });
        m_partitioned = false;
        set_actions(engine_action::serve);
        const time_point end = steady_clock()() + observed_time;
        while (steady_clock()() < end) {
            co_await call(other_host, "/s/x");
        }
        const daemon_fixture::response answer = co_await call(other_host, "/t/x");
        require(answer.status == 200,
                str_cat("the other host answers the same request with ", answer.status));
    }
};

} // namespace

int main() {
    partition_checks().run();
}
