/// \file
/// Defines a stand-in of an engine that follows PROTOCOL.md, and the operator's records.
#pragma once

#include "fleet.hpp"
#include "store.hpp"

#include <atomic>
#include <set>

namespace review {

/// One engine: it runs `slots` requests at once, queues as many again, and lets a request drop when
/// its connection closes.
class engine {
public:
    using json = nlohmann::json;
    /// Writes the answer to a request that the engine runs; the slot is held until it returns.
    using handler = std::function<void(engine&, connection&, const message&)>;

    engine(std::string id, std::string zone, int slots, recorder& record, handler serve,
           std::string version = "v1")
        : m_id(std::move(id)), m_zone(std::move(zone)), m_version(std::move(version)),
          m_slots(slots), m_record(record), m_serve(std::move(serve)),
          m_server(endpoint{}, [this](connection_ptr peer) { serve_connection(*peer); }) {}

    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] const std::string& version() const { return m_version; }

    /// Registers the engine in the store, as its heartbeats do.
    void register_in(platform_store& store, const std::string& service,
                     const std::string& state = "ready") {
        store.put(
            "servers/" + m_id,
            json{{"service", service},
                 {"address", m_server.own().text()},
                 {"zone", m_zone},
                 {"version", m_version},
                 {"slots", m_slots},
                 {"state", state},
                 {"coldRemainingMs", 0},
                 {"stage", "both"},
                 {"models",
                  json::array({{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}})},
                 {"seq", state == "ready" ? 1 : 2},
                 {"born", m_born}}
                .dump());
    }

    /// The headers that every answer of the engine bears.
    [[nodiscard]] std::vector<std::pair<std::string, std::string>>
    answer_fields(const message& request) const {
        return {{"Attempt-Id", request.get("attempt-id")},
                {"Server-Seal", "seal." + m_id + "." + request.get("attempt-id")}};
    }

    recorder& record() { return m_record; }

    /// Ends the work on a request whose connection a handler keeps open, and takes its place again
    /// before the handler returns.
    void free_slot() { m_running.fetch_sub(1); }
    void retake_slot() { m_running.fetch_add(1); }
    /// The requests that the engine works on, as in its report.
    [[nodiscard]] int running() const { return m_running; }

private:
    void serve_connection(connection& peer) {
        for (;;) {
            std::optional<message> request = read_head(peer, now_ms() + 15'000);
            if (!request) {
                return;
            }
            read_body(peer, *request, now_ms() + 5'000);
            if (!request->complete) {
                return;
            }
            if (request->target == "/health") {
                peer.write(encode_response(200, "", {{"Instance-Id", m_id}}), now_ms() + 1000);
                continue;
            }
            const std::string expected = request->get("expect-instance");
            if (!expected.empty() && expected != m_id) {
                peer.write(encode_response(421, "", {{"Instance-Id", m_id}}), now_ms() + 1000);
                continue;
            }
            if (m_present.fetch_add(1) >= 2 * m_slots) {
                m_present.fetch_sub(1);
                peer.write(encode_response(503, "", {{"Not-Executed", "1"}}), now_ms() + 1000);
                continue;
            }
            bool has_left = false;
            while (!take_slot() && !has_left) {
                sleep_ms(2);
                has_left = peer.peer_closed();
            }
            if (!has_left) {
                m_record.line("run " + request->get("attempt-id") + " at " + m_id +
                              (request->get("last-event-id").empty()
                                   ? ""
                                   : " after " + request->get("last-event-id")));
                m_serve(*this, peer, *request);
                m_running.fetch_sub(1);
            }
            m_present.fetch_sub(1);
            if (has_left || peer.peer_closed()) {
                return;
            }
        }
    }

    bool take_slot() {
        if (m_running.fetch_add(1) < m_slots) {
            return true;
        }
        m_running.fetch_sub(1);
        return false;
    }

    std::string m_id;
    std::string m_zone;
    std::string m_version;
    int m_slots;
    recorder& m_record;
    handler m_serve;
    std::int64_t m_born = unix_ms();
    std::atomic<int> m_present{0};
    std::atomic<int> m_running{0};
    tcp_server m_server;
};

/// Sends an event stream, an event each \p interval_ms, beginning behind the request's
/// Last-Event-Id. Returns false when the caller has left.
inline bool stream_events(engine& at, connection& peer, const message& request, int events,
                          int interval_ms) {
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : at.answer_fields(request)) {
        head += name + ": " + value + "\r\n";
    }
    if (!peer.write(head + "\r\n", now_ms() + 5'000)) {
        return false;
    }
    const std::string after = request.get("last-event-id");
    for (int id = after.empty() ? 1 : std::atoi(after.c_str()) + 1; id <= events; ++id) {
        sleep_ms(interval_ms);
        if (peer.peer_closed()) {
            return false;
        }
        const std::string event = "id: " + std::to_string(id) + "\ndata: " + at.version() + " " +
                                  request.get("attempt-id") + "-" + std::to_string(id) + "\n\n";
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!peer.write(size + event + "\r\n", now_ms() + 5'000)) {
            return false;
        }
    }
    return peer.write("0\r\n\r\n", now_ms() + 5'000);
}

} // namespace review
