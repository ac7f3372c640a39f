/// \file
/// Guards against jobs whose results are never listed because a target's answer to an item of
/// another job is too large to be stored.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"
#include "platform/fixture/job_calls.hpp"

#include <set>
#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// What the store takes in one value, as on the platform.
constexpr std::size_t max_value_bytes = 1'048'576;
/// Largest response that lists results, as on the platform.
constexpr std::size_t max_page_bytes = 1'000'000;
constexpr std::uint64_t events = 12;
/// Length of an event's data in a spoiled answer; together they exceed what the store takes.
constexpr std::size_t spoiled_event_bytes = 128UL * 1024;
/// Length of an event's data in a long answer that can be listed if its response holds no other.
constexpr std::size_t long_event_bytes = 40UL * 1024;
constexpr std::size_t items = 6;

class oversized_result_checks {
public:
    oversized_result_checks() {
        m_fleet.memory.max_value_bytes = max_value_bytes;
        m_fleet.add_daemon("runner-1", false, true);
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.configure(1);
        for (const std::string id : {"i-1", "i-2"}) {
            scripted_engine& engine = m_fleet.add_engine(id);
            engine.set_events([](const net::http_request&) { return events; });
            engine.set_padding([this](const net::http_request& request) {
                return padding_for(std::string(request.headers.get("Attempt-Id")));
            });
        }
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    /// The first answer to each item of "spoiled" and of "escaped" is too long: that of the first
    /// by its bytes, that of the second in JSON only, where a control character takes six.
    std::string padding_for(const std::string& item) {
        if (item.starts_with("long")) {
            return std::string(long_event_bytes, 'x');
        }
        const bool is_first = m_answered.insert(item).second;
        if (is_first && item.starts_with("spoiled")) {
            return std::string(spoiled_event_bytes, 'x');
        }
        if (is_first && item.starts_with("escaped")) {
            return std::string(long_event_bytes, '\x01');
        }
        return {};
    }

    net::task<> run_checks() {
        const std::string entry = "entry-1";
        for (const std::string job : {"spoiled", "escaped", "other-1", "other-2", "long"}) {
            co_await submit_job(m_fleet, entry, job, items);
        }
        for (const std::string job : {"other-1", "other-2", "spoiled", "escaped", "long"}) {
            const nlohmann::json results = co_await read_results(m_fleet, entry, job, items);
            if (results.size() < items) {
                co_return;
            }
            check_texts(job, results);
        }
        co_await check_page_sizes();
    }
    /// Every result is complete and has the text of one sound answer.
    static void check_texts(const std::string& job, const nlohmann::json& results) {
        const std::string padding =
            job == "long" ? std::string(long_event_bytes, 'x') : std::string();
        std::string text;
        for (std::uint64_t id = 1; id <= events; ++id) {
            text += str_cat(id > 1 ? "\n" : "", "e", id, padding);
        }
        for (const nlohmann::json& each : results) {
            require(each.value("state", "") == "complete" && each.value("output", "") == text,
                    job + ": a result is complete and has the text of a sound answer");
        }
    }
    /// A response lists as many results as fit into it.
    net::task<> check_page_sizes() {
        std::size_t after = 0;
        while (after < items) {
            net::http_request request =
                daemon_fixture::request("read", str_cat("/eelgrassdoor/lots/long?after=", after));
            request.method = "GET";
            request.body.clear();
            const std::string endpoint = m_fleet.caller_endpoint("entry-1");
            const auto got = co_await m_fleet.call(endpoint, std::move(request));
            require(got.status == 200 && got.body.size() <= max_page_bytes,
                    str_cat("a response of ", got.body.size(), " bytes lists results"));
            const auto page = nlohmann::json::parse(got.body, nullptr, false);
            if (!page.contains("next") || page["next"].get<std::size_t>() <= after) {
                require(false, "a response lists at least one result");
                co_return;
            }
            after = page["next"].get<std::size_t>();
        }
    }

    daemon_fixture m_fleet;
    /// Items that have had an answer.
    std::set<std::string> m_answered;
};

} // namespace

int main() {
    oversized_result_checks().run();
}
