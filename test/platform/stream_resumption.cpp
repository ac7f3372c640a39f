/// \file
/// Guards against streams that go on at another software version than the one that began them, in
/// one response or when a caller takes them up at another daemon.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr int streams_per_check = 12;

class resumption_checks {
public:
    resumption_checks() {
        for (const std::string version : {"v1", "v1", "v2", "v2"}) {
            const std::string id = str_cat("i-", m_engines.size() + 1);
            m_engines.push_back(&m_fleet.add_engine(id, version));
            m_engines.back()->set_event_prefix(version);
        }
        for (const std::string name : {"entry-1", "entry-2", "entry-3"}) {
            m_daemons.push_back(&m_fleet.add_daemon(name, true, false));
        }
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    using response = daemon_fixture::response;

    net::task<response> call(std::string daemon, net::http_request request) {
        co_return co_await m_fleet.call(m_fleet.caller_endpoint(daemon), std::move(request));
    }
    /// A request that goes on after event 4 of the stream that \p attempt began.
    [[nodiscard]] net::http_request resumption(const std::string& attempt) {
        net::http_request request = daemon_fixture::request(str_cat("again-", ++m_requests));
        request.headers.set("Last-Event-Id", "4");
        request.headers.set("Resumes", attempt);
        return request;
    }
    void set_actions(engine_action action) {
        for (scripted_engine* engine : m_engines) {
            engine->set_default_action(action);
        }
    }
    [[nodiscard]] std::size_t received() const {
        std::size_t sum = 0;
        for (const scripted_engine* engine : m_engines) {
            sum += engine->received().size();
        }
        return sum;
    }
    static bool has_version(const std::string& body, const std::string& version) {
        return body.find(str_cat("data: ", version)) != std::string::npos;
    }
    static bool is_mixed(const std::string& body) {
        return has_version(body, "v1") && has_version(body, "v2");
    }

    net::task<> wait_until_served() {
        m_fleet.configure(1);
        for (const std::string name : {"entry-1", "entry-2", "entry-3"}) {
            co_await m_fleet.wait_until_served(name);
        }
    }

    /// Every target breaks off new streams after two events and serves the rest of a stream whole.
    net::task<> check_one_response() {
        set_actions(engine_action::truncate_new);
        int mixed = 0;
        int whole = 0;
        for (int i = 0; i < streams_per_check; ++i) {
            net::http_request request = daemon_fixture::request(str_cat("one-", i));
            const response got = co_await call("entry-1", std::move(request));
            mixed += is_mixed(got.body) ? 1 : 0;
            whole += got.complete && got.status == 200 ? 1 : 0;
        }
        require(mixed == 0, str_cat(mixed, " of ", streams_per_check,
                                    " streams held events of two versions in one response"));
        require(whole == streams_per_check,
                str_cat("a stream goes on at another target of its version; ", whole, " of ",
                        streams_per_check, " were whole"));
    }

    /// Begins a stream at \p daemon that breaks off for good. Returns what arrived.
    net::task<std::string> begin_stream(std::string daemon, std::string id) {
        set_actions(engine_action::truncate);
        net::http_request request = daemon_fixture::request(id);
        const response begun = co_await call(daemon, std::move(request));
        set_actions(engine_action::serve);
        require(begun.body.find("id: 2\n") != std::string::npos && !begun.complete,
                "a stream begins and breaks off, got " + begun.body);
        co_return begun.body;
    }

    /// Callers take streams that have begun at \p from up at \p to.
    net::task<> check_taken_up(std::string what, std::string from, std::string to) {
        int mixed = 0;
        int whole = 0;
        for (int i = 0; i < streams_per_check; ++i) {
            const std::string id = str_cat(from, "-", to, "-", i);
            const std::string begun = co_await begin_stream(from, id);
            const response rest = co_await call(to, resumption(id));
            mixed += is_mixed(begun + rest.body) ? 1 : 0;
            whole += rest.complete && rest.status == 200 ? 1 : 0;
        }
        require(mixed == 0, str_cat(what, ": ", mixed, " of ", streams_per_check,
                                    " streams held events of two versions"));
        require(whole == streams_per_check,
                str_cat(what, ": ", whole, " of ", streams_per_check, " streams went on"));
    }

    net::task<> check_unknown_stream() {
        const std::size_t before = received();
        const response got = co_await call("entry-2", resumption("never-seen"));
        require(got.status == 503 && !got.headers.get("Retry-After").empty(),
                str_cat("a stream whose version nobody knows is refused; status ", got.status));
        require(received() == before, "the refused stream reaches no target");
    }

    net::task<> check_version_that_left() {
        const std::string begun = co_await begin_stream("entry-2", "left");
        const bool began_at_first = has_version(begun, "v1");
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if ((i < 2) == began_at_first) {
                m_fleet.memory.erase(str_cat("servers/i-", i + 1));
            }
        }
        response got;
        bool is_ever_mixed = false;
        const time_point end = steady_clock()() + seconds(10);
        while (got.status != 503 && steady_clock()() < end) {
            got = co_await call("entry-1", resumption("left"));
            is_ever_mixed = is_ever_mixed || is_mixed(begun + got.body);
        }
        require(!is_ever_mixed, "a stream whose version leaves goes on at no other one");
        require(got.status == 503,
                str_cat("a stream whose version has left is refused; status ", got.status));
        const response next = co_await call("entry-1", daemon_fixture::request("new"));
        require(next.status == 200 && next.complete, "new streams are served meanwhile");
    }

    net::task<> run_checks() {
        co_await wait_until_served();
        co_await check_one_response();
        co_await check_taken_up("at the same daemon", "entry-1", "entry-1");
        co_await check_taken_up("at another daemon", "entry-1", "entry-2");
        co_await check_unknown_stream();
        co_await check_version_that_left();
    }

    daemon_fixture m_fleet;
    std::vector<scripted_engine*> m_engines;
    std::vector<host::fleet_daemon*> m_daemons;
    int m_requests = 0;
};

} // namespace

int main() {
    resumption_checks().run();
}
