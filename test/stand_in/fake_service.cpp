/// \file
/// Stand-in of a plain service beside the engines. It records each call that it ran.
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
            run(in, out);
        };
        server.Get("/load", [](const httplib::Request&, httplib::Response& out) {
            out.set_content(R"({"running":0,"waiting":0,"slots":1000})", "application/json");
        });
        server.Get("/control/record", [this](const httplib::Request&, httplib::Response& out) {
            const std::lock_guard lock(m_mutex);
            out.set_content(json{{"calls", m_calls}, {"key_seen", m_key_seen}}.dump(),
                            "application/json");
        });
        server.Post("/control", [this](const httplib::Request& in, httplib::Response&) {
            const json faults = json::parse(in.body);
            m_lose_answers = faults.value("lose_answers", 0);
            m_slow_ms = faults.value("slow_ms", 0);
            m_hang = faults.value("hang", false);
        });
        server.Get(".*", serve);
        server.Post(".*", serve);
        server.Put(".*", serve);
        server.Patch(".*", serve);
        server.Delete(".*", serve);
    }

private:
    void run(const httplib::Request& in, httplib::Response& out) {
        {
            const std::lock_guard lock(m_mutex);
            m_calls.push_back({{"method", in.method},
                               {"target", in.target},
                               {"body", in.body},
                               {"request_id", in.get_header_value("X-Request-Id")}});
            bool seen = in.target.find("egd_") != std::string::npos ||
                        in.body.find("egd_") != std::string::npos;
            for (const auto& [name, value] : in.headers) {
                seen = seen || value.find("egd_") != std::string::npos;
            }
            m_key_seen += seen ? 1 : 0;
        }
        spend_ms(m_slow_ms);
        while (m_hang) {
            spend_ms(20);
        }
        out.set_header("X-Request-Id", in.get_header_value("X-Request-Id"));
        if (m_lose_answers > 0) {
            --m_lose_answers;
            lose_answer(out);
            return;
        }
        out.set_content(json{{"service", m_name}, {"method", in.method}, {"body", in.body}}.dump(),
                        "application/json");
    }

    const std::string m_name;
    std::mutex m_mutex;
    json m_calls = json::array();
    int m_key_seen = 0;
    std::atomic<int> m_lose_answers{0};
    std::atomic<int> m_slow_ms{0};
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
