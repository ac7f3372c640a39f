/// \file
/// Guards against a stream that goes on at another software version after every daemon that knew
/// which version began it has been killed.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

class unknown_stream_checks {
public:
    unknown_stream_checks() : m_first(add_engine("i-1", "v1")) {
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.configure(1);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    using response = daemon_fixture::response;

    scripted_engine& add_engine(const std::string& id, const std::string& version) {
        scripted_engine& engine = m_fleet.add_engine(id, version);
        engine.set_event_prefix(version);
        return engine;
    }
    net::task<response> call(std::string daemon, net::http_request request) {
        co_return co_await m_fleet.call(m_fleet.caller_endpoint(daemon), std::move(request));
    }
    net::task<> wait_until_served(std::string daemon) {
        response got;
        const time_point end = steady_clock()() + seconds(10);
        while (got.status != 200 && steady_clock()() < end) {
            net::http_request request = daemon_fixture::request(str_cat("new-", ++m_requests));
            got = co_await call(daemon, std::move(request));
        }
        require(got.status == 200, daemon + " serves new streams");
    }
    /// Starts a daemon that reaches no other one, like the first that is back after all were
    /// killed.
    net::task<> restart_as(std::string daemon) {
        m_fleet.adjust_settings = [](host::host_settings& settings) {
            settings.first_start = false;
        };
        m_fleet.add_daemon(daemon, true, false, [](std::string_view) { return true; });
        co_await wait_until_served(daemon);
    }
    /// A daemon that comes back after all entry hosts were killed reaches a host that runs jobs.
    net::task<> check_copy_at_job_host() {
        m_fleet.adjust_settings = nullptr;
        m_fleet.add_daemon("runner-1", false, true);
        const std::string runner = m_fleet.peer_endpoint("runner-1");
        m_fleet.add_daemon("entry-3", true, false,
                           [runner](std::string_view endpoint) { return endpoint != runner; });
        co_await wait_until_served("entry-3");
        response rest;
        const time_point end = steady_clock()() + seconds(10);
        // The daemons discover each other meanwhile.
        while (rest.status != 200 && steady_clock()() < end) {
            const std::string id = co_await begin_stream();
            rest = co_await resume("entry-3", id);
            require(rest.body.find("data: v2") == std::string::npos,
                    "the stream does not go on at another version");
        }
        require(
            rest.status == 200 && rest.complete,
            str_cat("a stream goes on that a host which runs jobs knows; status ", rest.status));
    }
    /// Begins a stream at the first engine and entry-1 that breaks off after two events. Returns
    /// its id.
    net::task<std::string> begin_stream() {
        m_first.set_default_action(engine_action::truncate);
        std::string id;
        response got;
        const time_point end = steady_clock()() + seconds(10);
        while (got.body.find("data: v1e2") == std::string::npos && steady_clock()() < end) {
            id = str_cat("begun-", ++m_requests);
            net::http_request request = daemon_fixture::request(id);
            got = co_await call("entry-1", std::move(request));
        }
        m_first.set_default_action(engine_action::serve);
        require(got.body.find("data: v1e2") != std::string::npos && !got.complete,
                "a stream begins at the first version and breaks off, got " + got.body);
        co_return id;
    }
    net::task<response> resume(std::string daemon, std::string id) {
        net::http_request request = daemon_fixture::request(str_cat("again-", ++m_requests));
        request.headers.set("Last-Event-Id", "2");
        request.headers.set("Resumes", id);
        co_return co_await call(daemon, std::move(request));
    }
    net::task<> wait_until_stored(std::string version) {
        co_await m_fleet.eventually("the versions in service are stored", [&] {
            const auto found =
                m_fleet.memory.items().find(std::string(fleet::service_versions_key));
            return found != m_fleet.memory.items().end() &&
                   found->second.value.find(version) != std::string::npos;
        });
    }
    void set_state(const scripted_engine& engine, const std::string& id, const std::string& state) {
        m_fleet.memory.put(str_cat("servers/", id),
                           str_cat(R"({"service":"s","address":")", engine.endpoint(),
                                   R"(","zone":"a","version":"v1","slots":8,"state":")", state,
                                   R"(","seq":2,"born":1})"));
    }
    net::task<> check_refused(std::string daemon, std::string id, std::string when) {
        const response got = co_await resume(daemon, id);
        require(got.status == 503, str_cat("an unknown stream is refused ", when, "; status ",
                                           got.status, ", body ", got.body));
    }

    net::task<> run_checks() {
        co_await wait_until_served("entry-1");
        co_await wait_until_stored("v1");
        const std::string alone = co_await begin_stream();
        co_await restart_as("entry-2");
        const response rest = co_await resume("entry-2", alone);
        require(rest.status == 200 && rest.complete &&
                    rest.body.find("data: v1e3") != std::string::npos,
                str_cat("a stream goes on at the only version that was in service; status ",
                        rest.status));

        const std::string begun = co_await begin_stream();
        add_engine("i-2", "v2");
        co_await wait_until_stored("v2");
        co_await check_copy_at_job_host();
        co_await restart_as("entry-4");
        co_await check_refused("entry-4", begun, "while two versions are in service");
        set_state(m_first, "i-1", "draining");
        co_await restart_as("entry-5");
        co_await check_refused("entry-5", begun, "while the version that began it leaves");
        m_fleet.memory.erase("servers/i-1");
        co_await restart_as("entry-6");
        co_await check_refused("entry-6", begun, "after the version that began it has left");
    }

    daemon_fixture m_fleet;
    scripted_engine& m_first;
    int m_requests = 0;
};

} // namespace

int main() {
    unknown_stream_checks().run();
}
