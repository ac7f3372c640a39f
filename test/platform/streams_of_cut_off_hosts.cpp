/// \file
/// Guards against streams that are refused though a host can tell which software version began
/// them: in a zone that goes on without the store, and at a host that reaches only the store.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"
#include "stand_in/disturbed_store.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr int streams = 12;

class cut_off_checks {
public:
    cut_off_checks() : m_engine(m_fleet.add_engine("i-1")) {
        m_fleet.adjust_settings = [this](host::host_settings& settings) {
            const bool is_alone = settings.host == "alone";
            settings.is_partitioned = [this, is_alone](std::string_view endpoint) {
                return m_is_cut && (is_alone || endpoint == m_fleet.peer_endpoint("alone"));
            };
        };
        m_fleet.adjust_adapter = [this](const std::string& name,
                                        host::platform_interface& adapter) {
            const bool reaches_store = name == "alone";
            adapter.store =
                make_disturbed(std::move(adapter.store), [this, reaches_store](store_call) {
                    return m_is_cut && !reaches_store ? store_fault::fails : store_fault::none;
                });
        };
        for (const std::string name : {"zone-1", "zone-2", "alone"}) {
            m_fleet.add_daemon(name, true, false);
        }
        m_fleet.configure(1);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    using response = daemon_fixture::response;

    /// Begins streams at \p from that break off, and takes them up at \p to.
    net::task<> check_taken_up(std::string from, std::string to) {
        int whole = 0;
        std::string others;
        for (int i = 0; i < streams; ++i) {
            const std::string id = str_cat(from, "-", i);
            m_engine.set_default_action(engine_action::truncate);
            net::http_request first = daemon_fixture::request(id);
            const response begun =
                co_await m_fleet.call(m_fleet.caller_endpoint(from), std::move(first));
            m_engine.set_default_action(engine_action::serve);
            require(begun.body.find("id: 2\n") != std::string::npos && !begun.complete,
                    "a stream begins and breaks off");
            net::http_request again = daemon_fixture::request(str_cat("again-", id));
            again.headers.set("Last-Event-Id", "2");
            again.headers.set("Resumes", id);
            const response rest =
                co_await m_fleet.call(m_fleet.caller_endpoint(to), std::move(again));
            const bool is_whole = rest.status == 200 && rest.complete;
            whole += is_whole ? 1 : 0;
            others += is_whole ? "" : str_cat(" ", rest.status);
        }
        require(whole == streams, str_cat(whole, " of ", streams, " streams of ", from,
                                          " go on at ", to, "; the others got", others));
    }

    net::task<> run_checks() {
        for (const std::string name : {"zone-1", "zone-2", "alone"}) {
            co_await m_fleet.wait_until_served(name);
        }
        m_is_cut = true;
        co_await check_taken_up("zone-1", "zone-2");
        co_await check_taken_up("zone-2", "alone");
    }

    daemon_fixture m_fleet;
    scripted_engine& m_engine;
    /// Whether "alone" reaches no other host, and the others reach no store.
    bool m_is_cut = false;
};

} // namespace

int main() {
    cut_off_checks().run();
}
