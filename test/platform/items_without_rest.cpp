/// \file
/// Guards against items that are listed as complete with a part of their text: their unframed
/// response was cut off between two events, and the run for the rest brought no stream.
#include "platform/fixture/daemon_fixture.hpp"
#include "platform/fixture/job_calls.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr std::size_t items = 4;
const std::string whole_text = "e1\ne2\ne3\ne4\ne5";

/// How the target handles the first run for the rest of an item.
const std::vector<std::pair<std::string, engine_action>> first_answers = {
    {"refused", engine_action::refuse},
    {"failed", engine_action::fail},
    {"closed", engine_action::close_late},
    {"silent", engine_action::hang}};

class rest_checks {
public:
    rest_checks() {
        m_fleet.add_daemon("runner-1", false, true);
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.configure(1);
        scripted_engine& engine = m_fleet.add_engine("i-1");
        engine.set_unframed([](const net::http_request&) { return true; });
        engine.set_default_action([this](const net::http_request& request) {
            if (request.headers.get("Last-Event-Id").empty()) {
                return engine_action::serve_briefly;
            }
            const std::string item(request.headers.get("Attempt-Id"));
            return m_asked.insert(item).second ? m_first_answer : engine_action::serve;
        });
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        const std::string entry = "entry-1";
        for (const auto& [job, action] : first_answers) {
            m_first_answer = action;
            co_await submit_job(m_fleet, entry, job, items);
            const nlohmann::json results = co_await read_results(m_fleet, entry, job, items);
            for (const nlohmann::json& each : results) {
                require(each.value("state", "") == "complete" &&
                            each.value("output", "") == whole_text,
                        "the run for the rest is " + job + ": the item has its whole text, got \"" +
                            each.value("output", "") + "\"");
            }
        }
        require(m_asked.size() == items * first_answers.size(), "each item's rest was asked for");
    }

    daemon_fixture m_fleet;
    engine_action m_first_answer = engine_action::serve;
    /// Items whose rest the target was asked for.
    std::set<std::string> m_asked;
};

} // namespace

int main() {
    rest_checks().run();
}
