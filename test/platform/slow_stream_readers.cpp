/// \file
/// Guards against a second run of a stream, and a failure counted against its target, because the
/// caller reads slowly: while a write to the caller waits, nothing is read from the target.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"
#include "stand_in/slow_reader.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// A stream that is longer than the buffers between the target and a caller with a small one.
constexpr std::uint64_t events = 800;
constexpr std::size_t event_padding = 4096;
/// Longer than the silence after which a daemon tries another target.
constexpr duration caller_pause = milliseconds(2500);

class slow_stream_checks {
public:
    slow_stream_checks()
        : m_first_engine(m_fleet.add_engine("i-1")), m_second_engine(m_fleet.add_engine("i-2")) {
        for (scripted_engine* each : {&m_first_engine, &m_second_engine}) {
            each->set_events([](const net::http_request&) { return events; });
            each->set_padding(
                [](const net::http_request&) { return std::string(event_padding, 'x'); });
        }
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.configure(1);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    [[nodiscard]] std::size_t received() const {
        return m_first_engine.received().size() + m_second_engine.received().size();
    }

    net::task<> run_checks() {
        co_await m_fleet.wait_until_served("entry-1");
        const std::size_t before = received();
        slow_reader reader(m_fleet.loop.get_executor(), m_fleet.caller_endpoint("entry-1"),
                           net::serialize(daemon_fixture::request("slow")),
                           {.bytes_at_once = 64 * 1024,
                            .interval = duration::zero(),
                            .first_interval = caller_pause,
                            .segment = 0});
        net::asio::co_spawn(m_fleet.loop, reader.run(), net::asio::detached);
        co_await m_fleet.eventually("the caller's stream ends", [&] { return reader.has_ended(); });
        require(reader.is_complete() && reader.bytes() > events * event_padding,
                str_cat("a caller that reads slowly gets the whole stream: ", reader.bytes(),
                        " bytes"));
        require(received() == before + 1,
                str_cat("its request runs once: ", received() - before, " runs"));
    }

    daemon_fixture m_fleet;
    scripted_engine& m_first_engine;
    scripted_engine& m_second_engine;
};

} // namespace

int main() {
    slow_stream_checks().run();
}
