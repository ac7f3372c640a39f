/// \file
/// Guards against answers of sound targets that fail for lack of memory because other callers leave
/// theirs unread.
#include "base/text.hpp"
#include "platform/fixture/raw_target_fixture.hpp"
#include "stand_in/slow_reader.hpp"

#include <deque>
#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// Memory of the daemon; an eighth of it is for answers of targets.
constexpr std::size_t memory_bytes = 16UL * 1024 * 1024;
/// Of a slow caller. Twenty of them take more than twice that eighth.
constexpr std::size_t slow_answer_bytes = 256UL * 1024;
/// Of the ordinary caller. Fits into that eighth, but not beside answers that fill it.
constexpr std::size_t answer_bytes = 1536UL * 1024;
constexpr std::size_t slow_callers = 20;

class unread_answer_checks : public raw_target_fixture {
public:
    unread_answer_checks() {
        m_fleet.adjust_settings = [](host::host_settings& settings) {
            settings.max_memory_bytes = memory_bytes;
        };
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.configure(1);
        m_respond = [](const listed_target&, const net::http_request& request) {
            const bool is_slow = request.target.starts_with("/s/slow");
            const std::size_t bytes = is_slow ? slow_answer_bytes : answer_bytes;
            const std::string framing = str_cat("Content-Length: ", bytes, "\r\n");
            return raw_target::response{.bytes = make_head(request, "text/plain", framing) +
                                                 std::string(bytes, 'x')};
        };
        add_target();
        add_target();
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        co_await m_fleet.wait_until_served("entry-1", "/s/x");
        for (std::size_t i = 0; i < slow_callers; ++i) {
            net::http_request request =
                daemon_fixture::request(str_cat("slow-", i), str_cat("/s/slow-", i));
            slow_reader& reader = m_readers.emplace_back(
                m_fleet.loop.get_executor(), m_fleet.caller_endpoint("entry-1"),
                net::serialize(request), reading_pace{.bytes_at_once = 2048});
            net::asio::co_spawn(m_fleet.loop, reader.run(), net::asio::detached);
            co_await m_fleet.eventually(str_cat("slow caller ", i, " gets the head of its answer"),
                                        [&] { return reader.status() == 200; });
        }
        const int before = received();
        const daemon_fixture::response got = co_await call("entry-1", "/s/");
        require(got.status == 200 && got.complete && got.body.size() == answer_bytes,
                str_cat("an ordinary caller gets its answer beside callers that read slowly: ",
                        got.body.substr(0, 200), " ", got.status));
        require(received() == before + 1, "its request runs once");
    }

    std::deque<slow_reader> m_readers;
};

} // namespace

int main() {
    unread_answer_checks().run();
}
