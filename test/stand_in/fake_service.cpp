/// \file
/// Simulated HTTP service that is not an inference engine. GET /control/record returns the calls
/// that it has run, POST /control sets faults to inject.
#include "stand_in/stand_in.hpp"

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

namespace {

using namespace eelgrassdoor::stand_in;
using nlohmann::json;

class service {
public:
    explicit service(std::string name) : m_name(std::move(name)) {}

    void add_routes(httplib::Server& server) {
        const auto serve = [this](const httplib::Request& in, httplib::Response& out) {
            handle(in, out);
        };
        server.Get("/load", [](const httplib::Request&, httplib::Response& out) {
            out.set_content(R"({"running":0,"waiting":0,"slots":1000})", "application/json");
        });
        server.Get("/control/record", [this](const httplib::Request&, httplib::Response& out) {
            const std::lock_guard lock(m_mutex);
            out.set_content(
                json{{"calls", m_calls}, {"requests_with_key", m_requests_with_key}}.dump(),
                "application/json");
        });
        server.Post("/control", [this](const httplib::Request& in, httplib::Response&) {
            const json faults = json::parse(in.body);
            m_truncate_responses = faults.value("truncate_responses", 0);
            m_delay_ms = faults.value("delay_ms", 0);
            m_hang = faults.value("hang", false);
        });
        server.Get(".*", serve);
        server.Post(".*", serve);
        server.Put(".*", serve);
        server.Patch(".*", serve);
        server.Delete(".*", serve);
    }

private:
    /// Records the call, applies faults and echoes the request body.
    void handle(const httplib::Request& in, httplib::Response& out) {
        {
            const std::lock_guard lock(m_mutex);
            m_calls.push_back({{"method", in.method},
                               {"target", in.target},
                               {"body", in.body},
                               {"request_id", in.get_header_value("X-Request-Id")}});
            bool contains_key = in.target.find("egd_") != std::string::npos ||
                                in.body.find("egd_") != std::string::npos;
            for (const auto& [name, value] : in.headers) {
                contains_key = contains_key || value.find("egd_") != std::string::npos;
            }
            m_requests_with_key += contains_key ? 1 : 0;
        }
        wait_ms(m_delay_ms);
        while (m_hang) {
            wait_ms(20);
        }
        out.set_header("X-Request-Id", in.get_header_value("X-Request-Id"));
        if (m_truncate_responses > 0) {
            --m_truncate_responses;
            truncate_response(out);
            return;
        }
        out.set_content(json{{"service", m_name}, {"method", in.method}, {"body", in.body}}.dump(),
                        "application/json");
    }

    const std::string m_name;
    std::mutex m_mutex;
    json m_calls = json::array();
    int m_requests_with_key = 0;
    std::atomic<int> m_truncate_responses{0};
    std::atomic<int> m_delay_ms{0};
    std::atomic<bool> m_hang{false};
};

} // namespace

int main(int argc, char** argv) {
    const arguments args(argc, argv);
    httplib::Server server;
    service s(args.text("name", "service"));
    s.add_routes(server);
    return serve_until_signal(server, args);
}
