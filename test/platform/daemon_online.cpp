/// \file
/// Online requests through a daemon: what callers and engines see.
#include "platform/fixture/daemon_fixture.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr std::string_view five_events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
                                         "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\n";

/// Runs the checks one after the other against one fleet of two engines and an entry host.
class online_checks {
public:
    online_checks()
        : m_one(m_fleet.add_engine("i-1")), m_two(m_fleet.add_engine("i-2")),
          m_daemon(m_fleet.add_daemon("entry", true, false)) {}

    [[noreturn]] void run() {
        m_fleet.run([this] { return all(); });
    }

private:
    net::task<> all() {
        co_await check_no_configuration();
        co_await check_stream();
        co_await check_refused_requests();
        co_await check_not_run();
        co_await check_cut();
        co_await check_at_most_once();
        co_await check_foreign_answer();
        co_await check_caller_leaves();
        co_await check_hanging_engine();
        co_await check_withdrawn_key();
        co_await check_leaving_engine();
        co_await check_shutdown();
    }

    /// Both engines do the same with their next request, and serve afterwards.
    void both(engine_action act) {
        m_one.clear_script();
        m_two.clear_script();
        m_one.enqueue(act);
        m_two.enqueue(act);
    }
    net::task<daemon_fixture::answer> call(const std::string& id, const std::string& path) {
        return m_fleet.call(m_fleet.caller_endpoint("entry"), daemon_fixture::request(id, path));
    }
    net::task<int> readiness() {
        net::http_request question;
        question.method = "GET";
        question.target = "/eelgrassdoor/ready";
        const auto got = co_await m_fleet.call(m_fleet.readiness_endpoint("entry"), question);
        co_return got.status;
    }
    [[nodiscard]] std::size_t arrivals() const {
        return m_one.received().size() + m_two.received().size();
    }

    net::task<> check_no_configuration() {
        const auto early = co_await call("early", "/p/x");
        require(early.status == 503, "without a configuration a request is refused as not run");
        const int not_ready = co_await readiness();
        require(not_ready == 503, "and the daemon is not ready");
        m_fleet.configure(1);
        int ready = 0;
        for (int i = 0; i < 500 && ready != 200; ++i) {
            ready = co_await readiness();
        }
        require(ready == 200, "it is ready when the configuration has come");
    }

    net::task<> check_stream() {
        const auto got = co_await call("a", "/p/x");
        require(got.status == 200 && got.complete && got.body == five_events,
                "a stream comes whole: " + got.body);
        require(got.headers.get("Server-Seal").starts_with("seal-") &&
                    got.headers.get("Attempt-Id") == "a",
                "with the engine's own fields");
        const scripted_engine& engine = m_one.received().empty() ? m_two : m_one;
        const net::header_list& seen = engine.received().back().headers;
        require(seen.find("Credential") == nullptr && seen.get("Tenant") == "c",
                "the engine sees the customer and not the key");
        require(seen.get("Expect-Instance").starts_with("i-"), "and which engine is meant");
    }

    net::task<> check_refused_requests() {
        const std::size_t before = arrivals();
        const auto unknown_path = co_await call("b", "/none/x");
        require(unknown_path.status == 404, "an unknown path has no route");
        net::http_request foreign = daemon_fixture::request("c");
        foreign.headers.set("Credential", "key-2");
        const auto unknown_key = co_await m_fleet.call(m_fleet.caller_endpoint("entry"), foreign);
        require(unknown_key.status == 401, "an unknown key is refused");
        net::http_request nameless = daemon_fixture::request("d");
        nameless.headers.remove("Attempt-Id");
        const auto without_id = co_await m_fleet.call(m_fleet.caller_endpoint("entry"), nameless);
        require(without_id.status == 400, "a request without an id is malformed");
        require(arrivals() == before, "none of them reached an engine");
    }

    net::task<> check_not_run() {
        both(engine_action::refuse);
        const auto refused = co_await call("e", "/o/x");
        require(refused.status == 503 && !refused.headers.get("Retry-After").empty(),
                "a request that no engine runs is refused as not run, with a time to come back");
        both(engine_action::serve);
        m_one.clear_script();
        m_one.enqueue(engine_action::refuse);
        const auto served = co_await call("f", "/o/x");
        require(served.status == 200 && served.complete, "another engine runs what one refuses");
    }

    net::task<> check_cut() {
        both(engine_action::truncate);
        const auto resumed = co_await call("g", "/p/x");
        require(resumed.status == 200 && resumed.body.starts_with(five_events.substr(0, 30)),
                "a stream that breaks goes on at another engine");
        const bool whole = resumed.complete && resumed.body == five_events;
        const bool broken = !resumed.complete;
        require(whole || broken, "a stream never looks complete unless it is");
    }

    net::task<> check_at_most_once() {
        const std::size_t before = arrivals();
        both(engine_action::truncate);
        const auto cut = co_await call("h", "/o/x");
        require(!cut.complete, "a cut stream that may not be repeated does not look complete");
        require(arrivals() == before + 1, "and is sent once");
    }

    net::task<> check_foreign_answer() {
        both(engine_action::respond_with_wrong_id_first);
        const auto got = co_await call("i", "/p/x");
        require(got.status == 200 && got.body.find("not for") == std::string::npos,
                "an answer to another request never reaches a caller");
    }

    net::task<> check_caller_leaves() {
        both(engine_action::hang);
        const time_point deadline = steady_clock()() + seconds(5);
        auto opened = co_await net::http_client::connect(
            m_fleet.loop.get_executor(), m_fleet.caller_endpoint("entry"), deadline);
        net::http_exchange exchange(opened.value());
        exchange.send(daemon_fixture::request("j", "/o/x"));
        co_await m_fleet.eventually("the engine has the request",
                                    [&] { return m_one.running() + m_two.running() == 1; });
        const int before = m_one.disconnects() + m_two.disconnects();
        opened.value()->close();
        // The platform allows half a second.
        co_await m_fleet.eventually(
            "the engine learns that the caller has gone",
            [&] { return m_one.disconnects() + m_two.disconnects() == before + 1; },
            milliseconds(500));
    }

    /// Sends requests at the same time and waits until all have been answered.
    net::task<> run_at_once(int count) {
        int ended = 0;
        for (int i = 0; i < count; ++i) {
            net::asio::co_spawn(
                m_fleet.loop,
                [&, id = ++m_last_id]() -> net::task<> {
                    (void)co_await call("w" + std::to_string(id), "/o/x");
                    ++ended;
                },
                net::asio::detached);
        }
        co_await m_fleet.eventually("they end", [&] { return ended == count; });
    }

    /// An engine that hangs costs the requests that it has, and no more.
    net::task<> check_hanging_engine() {
        m_one.clear_script();
        m_two.clear_script();
        const std::size_t before = m_one.received().size();
        for (int i = 0; i < 200 && m_one.received().size() == before; ++i) {
            m_one.clear_script();
            m_one.enqueue(engine_action::hang);
            net::asio::co_spawn(
                m_fleet.loop,
                [&, i]() -> net::task<> { (void)co_await call("t" + std::to_string(i), "/o/x"); },
                net::asio::detached);
            co_await m_fleet.eventually("a request arrives", [&, seen = arrivals()] {
                return arrivals() > seen || m_one.received().size() > before;
            });
        }
        m_one.clear_script();
        // The other engine is busier than the one that hangs, so that only the stall speaks against
        // the latter. Rounds go on until one leaves it out, at most as long as the request hangs.
        m_two.set_event_interval(milliseconds(40));
        std::size_t stalled = 0;
        bool left_out = false;
        while (!left_out && m_one.running() > 0) {
            stalled = m_one.received().size();
            co_await run_at_once(6);
            left_out = m_one.received().size() == stalled;
        }
        require(left_out && m_one.running() > 0, "an engine that hangs is left out before it ends");
        co_await run_at_once(6);
        m_two.set_event_interval(milliseconds(1));
        require(m_one.received().size() == stalled,
                "an engine that has not begun an answer for long gets no other request");
        co_await m_fleet.eventually(
            "the caller's time ends", [&] { return m_one.running() == 0; }, seconds(6));
        bool again = false;
        for (int i = 0; i < 200 && !again; ++i) {
            (void)co_await call("v" + std::to_string(i), "/o/x");
            again = m_one.received().size() > stalled;
        }
        require(again, "and is tried again when that request has ended");
    }

    net::task<> check_withdrawn_key() {
        m_one.clear_script();
        m_two.clear_script();
        m_fleet.configure(2, R"("key-3")");
        int status = 200;
        for (int i = 0; i < 500 && status != 401; ++i) {
            const auto got = co_await call("k" + std::to_string(i), "/p/x");
            status = got.status;
        }
        require(status == 401, "a withdrawn key stops working");
        m_fleet.configure(1);
        const auto again = co_await call("l", "/p/x");
        require(again.status == 401, "an older version never comes back into force");
        m_fleet.configure(3);
        for (int i = 0; i < 500 && status != 200; ++i) {
            const auto got = co_await call("m" + std::to_string(i), "/p/x");
            status = got.status;
        }
        require(status == 200, "a newer one does");
    }

    /// Sends requests until engine one, which leaves, has answered one of them with \p act.
    net::task<> hear_from_leaving(engine_action act) {
        bool heard = false;
        for (int i = 0; i < 500 && !heard; ++i) {
            m_one.clear_script();
            m_one.enqueue(act);
            const std::size_t before = m_one.received().size();
            (void)co_await call("n" + std::to_string(i), "/o/x");
            heard = m_one.received().size() > before;
        }
        m_one.clear_script();
        require(heard, "an engine that has not said anything gets requests");
    }

    net::task<> check_leaving_engine() {
        m_fleet.add_daemon("second", true, false);
        int ready = 0;
        for (int i = 0; i < 500 && ready != 200; ++i) {
            const auto got = co_await m_fleet.call(m_fleet.caller_endpoint("second"),
                                                   daemon_fixture::request("s"));
            ready = got.status;
        }
        require(ready == 200, "a second daemon serves");
        m_one.set_leaving(true);
        co_await hear_from_leaving(engine_action::refuse);
        const std::size_t before = m_one.received().size();
        for (int i = 0; i < 40; ++i) {
            (void)co_await call("o" + std::to_string(i), "/o/x");
        }
        require(m_one.received().size() == before,
                "an engine gets no request after an answer that says that it leaves");
        // Its entry still says that it is ready.
        m_fleet.memory.put("servers/i-1", R"({"service":"s","address":")" + m_one.endpoint() +
                                              R"(","zone":"a","version":"v1","slots":9,)"
                                              R"("state":"ready","seq":2,"born":1})");
        bool told = false;
        for (int i = 0; i < 500 && !told; ++i) {
            const std::size_t seen = m_one.received().size();
            for (int j = 0; j < 10; ++j) {
                (void)co_await m_fleet.call(
                    m_fleet.caller_endpoint("second"),
                    daemon_fixture::request("p" + std::to_string(10 * i + j), "/o/x"));
            }
            told = m_one.received().size() == seen;
        }
        require(told, "the other daemon sends it nothing either");
        const std::size_t late = m_one.received().size();
        for (int i = 0; i < 20; ++i) {
            (void)co_await call("q" + std::to_string(i), "/o/x");
            (void)co_await m_fleet.call(m_fleet.caller_endpoint("second"),
                                        daemon_fixture::request("r" + std::to_string(i), "/o/x"));
        }
        require(m_one.received().size() == late, "whatever its entry says");
        m_one.set_leaving(false);
    }

    net::task<> check_shutdown() {
        m_one.set_event_interval(milliseconds(300));
        m_two.set_event_interval(milliseconds(300));
        daemon_fixture::answer slow;
        net::asio::co_spawn(
            m_fleet.loop, [&]() -> net::task<> { slow = co_await call("slow", "/o/x"); },
            net::asio::detached);
        co_await m_fleet.eventually("the request runs",
                                    [&] { return m_one.running() + m_two.running() == 1; });
        m_daemon.begin_shutdown();
        const int leaving = co_await readiness();
        require(leaving == 503, "a leaving daemon is not ready");
        co_await m_fleet.eventually("a request in hand is finished", [&] { return slow.complete; });
        require(slow.body == five_events, "and whole");
    }

    daemon_fixture m_fleet;
    int m_last_id = 0;
    scripted_engine& m_one;
    scripted_engine& m_two;
    host::fleet_host& m_daemon;
};

} // namespace

int main() {
    online_checks().run();
}
