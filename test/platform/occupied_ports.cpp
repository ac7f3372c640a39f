/// \file
/// Guards against daemons that end because another program holds one of their ports when they come
/// back, and stay away although the port is only needed for metrics or is free a moment later.
#include "base/text.hpp"
#include "host/daemon_servers.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

net::task<> respond(net::server_exchange& exchange) {
    net::http_response out;
    out.status = 200;
    co_await exchange.respond(std::move(out));
}

class port_checks {
public:
    [[noreturn]] void run() {
        m_fleet.adjust_settings = [this](host::host_settings& settings) {
            m_metrics_port = occupy(settings.metrics_endpoint);
        };
        m_fleet.add_engine("i-1");
        m_fleet.add_daemon("host-1", true, false);
        check_second_start();
        m_fleet.run([this] { return run_checks(); });
    }

private:
    using server_ptr = std::unique_ptr<net::http_server>;

    server_ptr occupy(const std::string& endpoint) {
        auto out = std::make_unique<net::http_server>(
            m_fleet.loop.get_executor(), net::http_server_options{.endpoint = endpoint}, respond);
        require(out->start().has_value(), "another program takes a free port");
        return out;
    }

    void check_second_start() {
        host::host_settings settings;
        settings.serves_callers = true;
        settings.max_descriptors = 1000;
        for (std::string* endpoint : {&settings.caller_endpoint, &settings.readiness_endpoint,
                                      &settings.metrics_endpoint, &settings.peer_endpoint}) {
            *endpoint = free_endpoint(m_fleet.loop.get_executor());
        }
        host::server_handlers handlers{.caller = respond,
                                       .readiness = respond,
                                       .metrics = respond,
                                       .peer = respond,
                                       .caller_limits = [] { return net::client_limits(); },
                                       .stop_response = net::default_stop_response};
        m_servers = std::make_unique<host::daemon_servers>(m_fleet.loop.get_executor(), settings,
                                                           std::move(handlers));
        m_readiness_port = occupy(settings.readiness_endpoint);
        const result<void> first = m_servers->start();
        require(!first && first.error().code == error_code::unavailable,
                "servers whose port is in use do not start");
        m_readiness_port->stop();
        require(m_servers->start().has_value(), "servers start when their ports are free again");
    }

    net::task<> run_checks() {
        m_fleet.configure(1);
        const auto served = co_await eventually_served();
        require(served, "a daemon whose metrics port is in use serves callers");
        m_metrics_port->stop();
        net::http_request read;
        read.method = "GET";
        read.target = "/metrics";
        read.headers.set("Host", "metrics");
        const time_point end = steady_clock()() + seconds(10);
        bool found = false;
        while (!found && steady_clock()() < end) {
            const auto got = co_await m_fleet.call(m_fleet.metrics_endpoint("host-1"), read);
            found = got.body.find("configuration_version 1") != std::string::npos;
        }
        require(found, "metrics can be read when their port is free again");
    }

    net::task<bool> eventually_served() {
        const time_point end = steady_clock()() + seconds(10);
        bool served = false;
        for (int i = 0; !served && steady_clock()() < end; ++i) {
            const auto request = daemon_fixture::request(str_cat("r", i), "/s/x");
            const auto got = co_await m_fleet.call(m_fleet.caller_endpoint("host-1"), request);
            served = got.status == 200 && got.complete;
        }
        co_return served;
    }

    daemon_fixture m_fleet;
    server_ptr m_metrics_port;
    /// Kept until the end, since its accept loop refers to it.
    server_ptr m_readiness_port;
    std::unique_ptr<host::daemon_servers> m_servers;
};

} // namespace

int main() {
    auto* const checks = new port_checks;
    checks->run();
}
