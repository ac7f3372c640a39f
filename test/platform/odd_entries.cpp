/// \file
/// Guards against entries of other writers among those of the engines that end the daemons which
/// read them, or hide the other entries: deep nesting, numbers and ports out of range.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr std::size_t nesting_depth = 100'000;

/// An entry of an engine with these values in place of the proper ones.
std::string entry(const std::string& address, const std::string& slots, const std::string& born,
                  const std::string& extra = "") {
    return str_cat(R"({"service":"s","address":)", address,
                   R"(,"zone":"a","version":"v1","slots":)", slots,
                   R"(,"state":"ready","seq":1,"born":)", born, extra, "}");
}

std::vector<std::string> odd_entries() {
    const std::string address = R"("127.0.0.1:9")";
    const std::string open(nesting_depth, '[');
    const std::string close(nesting_depth, ']');
    std::string objects;
    for (std::size_t i = 0; i < nesting_depth; ++i) {
        objects += R"({"a":)";
    }
    return {open + close,
            open,
            objects + "1" + std::string(nesting_depth, '}'),
            entry(address, "8", "1", str_cat(R"(,"coldRemainingMs":)", open, close)),
            entry(address, "1e999", "1"),
            entry(address, "99999999999999999999999", "1"),
            entry(address, "8", "1e400"),
            entry(address, "8", "-1"),
            entry(R"("127.0.0.1:65536")", "8", "1"),
            entry(R"("127.0.0.1:99999999999999999999")", "8", "1"),
            entry(R"("127.0.0.1:-1")", "8", "1"),
            entry(R"(":1")", "8", "1"),
            entry("70000", "8", "1"),
            entry(open + close, "8", "1"),
            std::string("\xff\xfe\0{", 4),
            ""};
}

class entry_checks {
public:
    entry_checks() : m_engine(m_fleet.add_engine("i-1")) {
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.add_daemon("jobs-1", false, true);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        check_durations();
        int number = 0;
        for (const std::string& value : odd_entries()) {
            m_fleet.memory.put(str_cat("servers/odd-", number++), value);
        }
        m_fleet.configure(1);
        co_await require_served("an engine is used beside odd entries");
        for (const std::string& value : odd_entries()) {
            m_fleet.memory.put(str_cat("servers/odd-", number++), value);
        }
        const scripted_engine& later = m_fleet.add_engine("i-2");
        // Only the later engine can serve from now on.
        m_fleet.memory.put("servers/i-1", "[");
        const time_point end = steady_clock()() + seconds(10);
        while (later.received().empty() && steady_clock()() < end) {
            co_await call();
        }
        require(!later.received().empty(), "entries written after odd ones are followed");
    }

    static void check_durations() {
        const store::kv_item item{
            .key = "servers/i-3",
            .value = entry(R"("127.0.0.1:9")", "8", "1", R"(,"coldRemainingMs":1e300)")};
        const auto target = platform_adapter::decode_engine(item);
        require(!target || !target.value().cold_remaining ||
                    (*target.value().cold_remaining > duration::zero() &&
                     *target.value().cold_remaining <= std::chrono::hours(24)),
                "a duration out of range does not overflow");
    }

    net::task<int> call() {
        const auto got =
            co_await m_fleet.call(m_fleet.caller_endpoint("entry-1"),
                                  daemon_fixture::request(str_cat("request-", ++m_requests)));
        co_return got.complete ? got.status : 0;
    }
    net::task<> require_served(std::string what) {
        const time_point end = steady_clock()() + seconds(10);
        int status = 0;
        while (status != 200 && steady_clock()() < end) {
            status = co_await call();
        }
        require(status == 200, what);
    }

    daemon_fixture m_fleet;
    scripted_engine& m_engine;
    int m_requests = 0;
};

} // namespace

int main() {
    entry_checks checks;
    checks.run();
}
