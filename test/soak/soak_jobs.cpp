#include "base/text.hpp"
#include "soak/soak_clients.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <utility>

namespace eelgrassdoor::test {

namespace {

constexpr duration job_poll_interval = milliseconds(500);
/// How long a caller reads a job.
constexpr duration job_deadline = seconds(40);

} // namespace

net::task<> soak_clients::run_job(int number, job_shape shape) {
    const std::string job = str_cat("job-", number, "-", m_random.next());
    nlohmann::json items = nlohmann::json::array();
    for (std::size_t i = 0; i < shape.items; ++i) {
        items.push_back({{"id", str_cat(job, "-", i)},
                         {"path", str_cat(shape.path, i)},
                         {"headers", {{"Model", "m"}}},
                         {"body", ""},
                         {"tokens", 100}});
    }
    const std::string body = nlohmann::json{{"items", items}}.dump();
    const time_point deadline = steady_clock()() + job_deadline;
    int status = 0;
    bool is_first = true;
    while (status != 202 && steady_clock()() < deadline && !m_stopped) {
        const daemon_process& host = random_entry_host();
        const std::string endpoint = host.caller_endpoint();
        const time_point sent_at = steady_clock()();
        const std::string target = "/j/" + job;
        const std::string method = "POST";
        const net::http_response response = co_await call(endpoint, method, target, job, body);
        status = response.status;
        if (std::exchange(is_first, false)) {
            record(host, request_kind::job_acceptance, sent_at, status == 202);
        }
        co_await m_fleet.wait(job_poll_interval);
    }
    if (status != 202) {
        co_return;
    }
    ++m_counts.accepted_jobs;
    std::map<std::string, std::string> known;
    while (known.size() < shape.items && steady_clock()() < deadline) {
        const daemon_process& host = random_entry_host();
        const std::string endpoint = host.caller_endpoint();
        const time_point sent_at = steady_clock()();
        const std::string target = str_cat("/eelgrassdoor/lots/", job, "?after=0");
        const std::string method = "GET";
        const std::string id = random_id();
        const std::string no_body;
        const net::http_response response = co_await call(endpoint, method, target, id, no_body);
        record(host, request_kind::job_read, sent_at, response.status == 200);
        if (response.status == 200) {
            check_results(job, response.body, shape.events, known);
        }
        co_await m_fleet.wait(job_poll_interval);
    }
    if (known.size() < shape.items) {
        std::printf("%s: %zu of %zu items were listed in time\n", job.c_str(), known.size(),
                    shape.items);
    }
    m_counts.finished_jobs += known.size() == shape.items ? 1 : 0;
}

void soak_clients::check_results(const std::string& job, const std::string& page,
                                 std::uint64_t events, std::map<std::string, std::string>& known) {
    const auto json = nlohmann::json::parse(page, nullptr, false);
    if (!json.contains("results")) {
        m_counts.faults.push_back(str_cat(job, ": a page cannot be read"));
        return;
    }
    for (const nlohmann::json& each : json["results"]) {
        const std::string item = each.value("id", "");
        const std::string text = each.value("output", "");
        const auto [entry, is_new] = known.emplace(item, text);
        if (!is_new && entry->second != text) {
            m_counts.faults.push_back(str_cat(item, ": the result has changed"));
        }
        if (is_new && each.value("state", "") == "complete") {
            check_text(item, text, events);
        }
    }
}

void soak_clients::check_text(const std::string& item, const std::string& text,
                              std::uint64_t events) {
    std::set<std::string> versions;
    std::uint64_t next = 1;
    ++m_counts.texts;
    m_counts.long_texts += events == events_per_long_item ? 1 : 0;
    for (const std::string_view line : split(text, '\n')) {
        const std::size_t mark = line.find('e');
        if (mark == std::string_view::npos || line.substr(mark) != str_cat("e", next)) {
            m_counts.faults.push_back(
                str_cat(item, ": event ", next, " of the text is \"", std::string(line), "\""));
            return;
        }
        versions.insert(std::string(line.substr(0, mark)));
        ++next;
    }
    if (next != events + 1 || versions.size() != 1) {
        m_counts.faults.push_back(str_cat(item, ": the text has ", next - 1, " events of ",
                                          versions.size(), " versions"));
    }
}

} // namespace eelgrassdoor::test
