/// \file
/// A stand-in of an engine: registers in the store, streams events, drops a request whose
/// connection closes.
#pragma once

#include "store.hpp"

#include <atomic>
#include <map>

namespace review {

/// How an engine handles one request.
struct engine_plan {
    int events = 8;
    std::int64_t event_interval_ms = 30;
    /// Whether the answer has neither a length nor chunks and ends with its connection.
    bool unframed = false;
    /// Ends the answer in order after this many events of this run; 0 for none.
    int truncate_after = 0;
    /// Lines that belong to no answer, of 4 KB each, before the end of the answer.
    int spoiled_lines = 0;
    /// Answers 503 with Not-Executed, as a full engine does.
    bool refuse = false;
};

struct engine_options {
    std::string id;
    std::string service;
    endpoint at;
    std::string zone;
    std::string version = "v1";
    int slots = 8;
    int queue = 24;
};

class engine {
public:
    /// \p plan decides on each request, given the number of earlier requests with its id here.
    engine(engine_options options, store& its_store, record& log,
           std::function<engine_plan(const message& request, int earlier)> plan)
        : m_options(std::move(options)), m_store(its_store), m_log(log), m_plan(std::move(plan)) {}

    bool start() {
        const bool listens =
            m_server.start(m_options.at, [this](connection& link, const message& request) {
                return handle(link, request);
            });
        write_entry();
        std::thread([this] {
            for (;;) {
                sleep_ms(1200);
                write_entry();
            }
        }).detach();
        return listens;
    }

    /// Number of times that the engine has written its entry.
    int beats() const { return m_seq; }

    /// The data of event \p number of the request \p id.
    static std::string data_of(const std::string& id, int number) {
        return id + "." + std::to_string(number);
    }

    /// Called when a request has reached the engine, and when it begins to run.
    std::function<void(const message& request)> on_arrival = [](const message&) {};
    std::function<void(const message& request)> on_run = [](const message&) {};

private:
    void write_entry() {
        m_store.put("servers/" + m_options.id, {{"service", m_options.service},
                                                {"address", m_options.at.text()},
                                                {"zone", m_options.zone},
                                                {"version", m_options.version},
                                                {"slots", m_options.slots},
                                                {"state", "ready"},
                                                {"coldRemainingMs", 0},
                                                {"stage", "both"},
                                                {"models", models()},
                                                {"born", m_born},
                                                {"seq", ++m_seq}});
    }
    static json models() {
        return json::array({{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
    }

    bool handle(connection& link, const message& request) {
        if (request.method == "GET") {
            const bool is_report = request.path() == "/eelgrassdoor/report";
            const json report{
                {"stage", "both"},  {"models", models()}, {"busy", false},
                {"seq", 0},         {"waiting", 0},       {"running", m_running.load()},
                {"kvUsed", 0},      {"kvTotal", 100000},  {"handles", 0},
                {"state", "ready"}, {"next", 0},          {"runs", json::array()},
                {"born", m_born}};
            return link.send(make_response(
                200, is_report ? report.dump() : "",
                {{"Content-Type", "application/json"}, {"Instance-Id", m_options.id}}));
        }
        const std::string id = request.header("Attempt-Id");
        int earlier = 0;
        {
            const std::lock_guard lock(m_mutex);
            earlier = m_runs[id]++;
        }
        const std::string resume = request.header("Last-Event-Id");
        m_log.line("engine %s: %s arrives%s%s", m_options.id.c_str(), id.c_str(),
                   resume.empty() ? "" : ", resumed after event ", resume.c_str());
        on_arrival(request);
        const std::string expected = request.header("Expect-Instance");
        if (!expected.empty() && expected != m_options.id) {
            return link.send(make_response(
                421, "",
                {{"Attempt-Id", id}, {"Instance-Id", m_options.id}, {"Not-Executed", "1"}}));
        }
        const engine_plan plan = m_plan(request, earlier);
        const bool admitted = !plan.refuse && wait_for_slot(link);
        if (!admitted) {
            m_log.line("engine %s: %s is not run: 503 Not-Executed", m_options.id.c_str(),
                       id.c_str());
            return link.send(make_response(503, "", {{"Attempt-Id", id}, {"Not-Executed", "1"}}));
        }
        const bool goes_on =
            run(link, request, plan, resume.empty() ? 0 : std::atoi(resume.c_str()));
        --m_running;
        return goes_on;
    }

    bool wait_for_slot(connection& link) {
        if (m_running + m_waiting >= m_options.slots + m_options.queue) {
            return false;
        }
        ++m_waiting;
        for (;;) {
            int running = m_running;
            if (running < m_options.slots &&
                m_running.compare_exchange_strong(running, running + 1)) {
                --m_waiting;
                return true;
            }
            if (link.is_closed()) {
                --m_waiting;
                return false;
            }
            sleep_ms(2);
        }
    }

    bool run(connection& link, const message& request, const engine_plan& plan, int after) {
        const std::string id = request.header("Attempt-Id");
        m_log.line("engine %s: %s begins to run", m_options.id.c_str(), id.c_str());
        on_run(request);
        std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: seal-of-" +
                           id + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n";
        head += plan.unframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
        if (!link.send(head)) {
            return false;
        }
        int sent = 0;
        for (int number = after + 1; number <= plan.events; ++number) {
            sleep_ms(plan.event_interval_ms);
            if (link.is_closed()) {
                m_log.line("engine %s: %s dropped after event %d, its connection was closed",
                           m_options.id.c_str(), id.c_str(), number - 1);
                return false;
            }
            const std::string event =
                "id: " + std::to_string(number) + "\ndata: " + data_of(id, number) + "\n\n";
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!link.send(plan.unframed ? event : size + event + "\r\n")) {
                return false;
            }
            ++sent;
            if (plan.truncate_after > 0 && sent == plan.truncate_after) {
                m_log.line("engine %s: %s broken off after event %d", m_options.id.c_str(),
                           id.c_str(), number);
                return false;
            }
        }
        if (plan.spoiled_lines > 0) {
            m_log.line("engine %s: the answer to %s is spoiled by %d KB that belong to none",
                       m_options.id.c_str(), id.c_str(), plan.spoiled_lines * 4);
            const std::string line = "data: " + std::string(4088, '0') + "\n\n";
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", line.size());
            for (int i = 0; i < plan.spoiled_lines; ++i) {
                if (!link.send(plan.unframed ? line : size + line + "\r\n")) {
                    return false;
                }
            }
        }
        m_log.line("engine %s: %s finished", m_options.id.c_str(), id.c_str());
        return !plan.unframed && link.send("0\r\n\r\n");
    }

    engine_options m_options;
    store& m_store;
    record& m_log;
    std::function<engine_plan(const message&, int)> m_plan;
    const std::int64_t m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                                    std::chrono::system_clock::now().time_since_epoch())
                                    .count();
    std::atomic<int> m_seq{0};
    std::atomic<int> m_running{0};
    std::atomic<int> m_waiting{0};
    server m_server;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
};

} // namespace review
