/// \file
/// Guards against streams and texts that go on at a target which has started again with another
/// software version, under its id and at its address, before its entry has changed.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr int streams_per_check = 12;
constexpr std::size_t items = 12;

engine_action serve_resumed_only(const net::http_request& request) {
    return request.headers.get("Last-Event-Id").empty() ? engine_action::refuse
                                                        : engine_action::serve;
}

class restart_checks {
public:
    restart_checks() {
        for (const std::string id : {"i-1", "i-2", "i-3"}) {
            m_engines.push_back(&m_fleet.add_engine(id, "v1"));
            m_engines.back()->set_event_prefix("v1-");
        }
        // Refuses new requests, so that each stream begins at v1.
        m_engines[0]->set_started_at(2);
        m_engines[0]->set_event_prefix("v2-");
        m_engines[0]->set_default_action(serve_resumed_only);
        m_fleet.add_daemon("runner-1", false, true);
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.add_daemon("entry-2", true, false);
        m_fleet.configure(1);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    using response = daemon_fixture::response;

    net::task<> run_checks() {
        co_await wait_until_served();
        co_await check_one_response();
        co_await check_taken_up();
        co_await check_items();
        co_await check_updated_entry();
    }

    net::task<response> call(std::string daemon, net::http_request request) {
        co_return co_await m_fleet.call(m_fleet.caller_endpoint(daemon), std::move(request));
    }
    /// What the engines that have not started again do.
    void set_actions(engine_action action) {
        m_engines[1]->set_default_action(action);
        m_engines[2]->set_default_action(action);
    }
    static bool is_mixed(const std::string& text) {
        return text.find("v1-") != std::string::npos && text.find("v2-") != std::string::npos;
    }

    net::task<> wait_until_served() {
        for (const std::string name : {"entry-1", "entry-2"}) {
            co_await m_fleet.wait_until_served(name);
        }
    }

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
        check_streams("in one response", mixed, whole);
    }

    net::task<> check_taken_up() {
        int mixed = 0;
        int whole = 0;
        for (int i = 0; i < streams_per_check; ++i) {
            const std::string id = str_cat("begun-", i);
            set_actions(engine_action::truncate);
            net::http_request request = daemon_fixture::request(id);
            const response begun = co_await call("entry-1", std::move(request));
            require(begun.body.find("id: 4\n") != std::string::npos && !begun.complete,
                    "a stream begins and breaks off after event 4, got " + begun.body);
            set_actions(engine_action::serve);
            net::http_request resumption = daemon_fixture::request(str_cat("again-", i));
            resumption.headers.set("Last-Event-Id", "4");
            resumption.headers.set("Resumes", id);
            const response rest = co_await call("entry-2", std::move(resumption));
            mixed += is_mixed(begun.body + rest.body) ? 1 : 0;
            whole += rest.complete && rest.status == 200 ? 1 : 0;
        }
        check_streams("taken up by the caller", mixed, whole);
    }

    static void check_streams(const std::string& what, int mixed, int whole) {
        require(mixed == 0, str_cat(what, ": ", mixed, " of ", streams_per_check,
                                    " streams held events of two versions"));
        require(whole == streams_per_check,
                str_cat(what, ": ", whole, " of ", streams_per_check, " streams went on"));
    }

    net::task<> check_items() {
        set_actions(engine_action::truncate_new);
        co_await submit();
        nlohmann::json all = nlohmann::json::array();
        for (int i = 0; i < 60 && all.size() < items; ++i) {
            net::http_request request = daemon_fixture::request(
                "read", str_cat("/eelgrassdoor/lots/job?after=", std::to_string(all.size())));
            request.method = "GET";
            request.body.clear();
            request.headers.set("Wait-Ms", "1000");
            const response got = co_await call("entry-1", std::move(request));
            const auto page = nlohmann::json::parse(got.body, nullptr, false);
            if (got.status == 200 && page.contains("results")) {
                all.insert(all.end(), page["results"].begin(), page["results"].end());
            }
        }
        require(all.size() == items, "every item is listed");
        int mixed = 0;
        for (const auto& each : all) {
            mixed += is_mixed(each["output"].get<std::string>()) ? 1 : 0;
        }
        require(mixed == 0, str_cat(mixed, " of ", items, " texts held events of two versions"));
    }

    /// Submits the job until it is accepted: it is refused until the daemons have discovered each
    /// other.
    net::task<> submit() {
        nlohmann::json list = nlohmann::json::array();
        for (std::size_t i = 0; i < items; ++i) {
            list.push_back({{"id", str_cat("item", i)},
                            {"path", str_cat("/j/x/", i)},
                            {"headers", {{"Model", "m"}}},
                            {"body", to_base64("body")},
                            {"tokens", 10}});
        }
        const std::string body = nlohmann::json{{"items", list}}.dump();
        int status = 0;
        for (int i = 0; i < 300 && status != 202; ++i) {
            net::http_request request = daemon_fixture::request("job", "/j/x");
            request.body = body;
            const response got = co_await call("entry-1", std::move(request));
            status = got.status;
        }
        require(status == 202, "the job is accepted");
    }

    /// The entry of the new start arrives, and streams of its version begin and go on there.
    net::task<> check_updated_entry() {
        std::string entry = m_fleet.memory.items().at("servers/i-1").value;
        entry.replace(entry.find("v1"), 2, "v2");
        entry.replace(entry.find(R"("born":1)"), 8, R"("born":2)");
        m_fleet.memory.put("servers/i-1", entry);
        set_actions(engine_action::refuse);
        // Until the daemons have the entry, streams that begin there count as of the old version.
        response rest;
        const time_point end = steady_clock()() + seconds(10);
        for (int i = 0; rest.status != 200 && steady_clock()() < end; ++i) {
            const std::string id = str_cat("new-", i);
            m_engines[0]->set_default_action(engine_action::truncate);
            net::http_request request = daemon_fixture::request(id);
            (void)co_await call("entry-1", std::move(request));
            m_engines[0]->set_default_action(engine_action::serve);
            net::http_request resumption = daemon_fixture::request(str_cat("again-", id));
            resumption.headers.set("Last-Event-Id", "2");
            resumption.headers.set("Resumes", id);
            rest = co_await call("entry-1", std::move(resumption));
        }
        require(rest.complete && rest.body.find("v2-e5") != std::string::npos,
                str_cat("a stream goes on at the restarted target whose entry has arrived, got ",
                        rest.status, " ", rest.body));
    }

    daemon_fixture m_fleet;
    /// The first one has started again.
    std::vector<scripted_engine*> m_engines;
    int m_requests = 0;
};

} // namespace

int main() {
    restart_checks().run();
}
