/// \file
/// An engine of a soak as a process. Its end closes its connections as that of any process does.
///
/// usage: soak_engine NAME=VALUE... (see engine_options)
#include "base/random_source.hpp"
#include "check.hpp"
#include "soak/engine_options.hpp"
#include "soak/request_log.hpp"
#include "soak/traffic.hpp"
#include "stand_in/scripted_engine.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr duration event_interval = milliseconds(45);
/// In trouble one response in this many is delayed, one pauses, and one is broken off.
constexpr std::uint64_t trouble_interval = 20;

class engine_process {
public:
    engine_process(net::asio::io_context& loop, const engine_options& options)
        : m_options(options), m_random(options.seed), m_log(options.request_log),
          m_signals(loop, begin_trouble_signal, end_trouble_signal, leave_signal),
          m_engine(loop.get_executor(), options.endpoint), m_trouble(options.trouble) {
        m_engine.set_started_at(options.started_at);
        m_engine.set_event_prefix(options.version);
        m_engine.set_event_interval(event_interval);
        m_engine.set_pause(milliseconds(options.behaviour.pause_ms));
        m_engine.set_events([](const net::http_request& request) {
            return request.target.starts_with(long_item_path) ? events_per_long_item
                                                              : events_per_stream;
        });
        m_engine.set_on_request([this](const net::http_request& request) {
            m_log.append(m_options.id, request.target);
        });
        m_engine.set_unframed([this](const net::http_request&) {
            return is_drawn(m_options.behaviour.unframed_interval);
        });
        m_engine.set_default_action(
            [this](const net::http_request& request) { return choose_action(request); });
        wait_for_signal();
    }

private:
    bool is_drawn(std::uint64_t interval) { return interval > 0 && m_random.below(interval) == 0; }

    engine_action choose_action(const net::http_request& request) {
        if (request.target.starts_with(once_path)) {
            return engine_action::serve_briefly;
        }
        if (is_drawn(m_options.behaviour.pause_interval)) {
            return engine_action::pause;
        }
        const std::uint64_t drawn = m_trouble ? m_random.below(trouble_interval) : trouble_interval;
        return drawn == 0   ? engine_action::delay
               : drawn == 1 ? engine_action::pause
               : drawn == 2 ? engine_action::truncate_new
                            : engine_action::serve;
    }

    void wait_for_signal() {
        m_signals.async_wait([this](const net::io_error& ec, int number) {
            if (ec) {
                return;
            }
            if (number == leave_signal) {
                m_engine.set_leaving(true);
            } else {
                m_trouble = number == begin_trouble_signal;
            }
            wait_for_signal();
        });
    }

    engine_options m_options;
    random_source m_random;
    request_log m_log;
    /// Before the engine: once that listens, signals may come.
    net::asio::signal_set m_signals;
    scripted_engine m_engine;
    bool m_trouble = false;
};

} // namespace

int main(int argc, char** argv) {
    const auto options = parse_engine_options({argv + 1, static_cast<std::size_t>(argc - 1)});
    if (!options) {
        std::fprintf(stderr, "usage: soak_engine NAME=VALUE...\n");
        return EXIT_FAILURE;
    }
    std::signal(SIGPIPE, SIG_IGN);
    net::asio::io_context loop{1};
    const engine_process engine(loop, *options);
    loop.run();
    return finish();
}
