/// \file
/// Guards against requests that a host which reaches no target loses on its own silent links: those
/// that look for the end of the partition again and again, and those that another host has refused
/// to relay because their targets have ended.
#include "base/text.hpp"
#include "net/endpoint.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <array>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr std::string_view five_events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
                                         "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\n";
constexpr int engine_count = 4;
/// Engines that have ended, while their entries stay.
constexpr int ended_count = 2;
constexpr int rounds = 8;
/// Time after the begin of a partition from which requests must be served.
constexpr duration contact_time = seconds(3);
constexpr std::size_t buffer_size = 16 * 1024;

/// A proxy in front of an engine.
struct front {
    front(net::asio::any_io_executor executor, std::string engine_endpoint)
        : endpoint(free_endpoint(executor)), engine(std::move(engine_endpoint)),
          acceptor(executor, net::parse_endpoint(endpoint).value()) {}

    std::string endpoint;
    std::string engine;
    net::tcp::acceptor acceptor;
    /// For each connection that is about to be opened, whether it carries nothing.
    std::deque<bool> is_next_silent;
    std::vector<net::tcp::socket> silent;
};

struct link {
    explicit link(net::tcp::socket accepted)
        : client(std::move(accepted)), engine(client.get_executor()) {}

    net::tcp::socket client;
    net::tcp::socket engine;
};

/// Passes on what arrives, to the engine or from it.
net::task<> pass_on(std::shared_ptr<link> link, bool is_request) {
    net::tcp::socket& from = is_request ? link->client : link->engine;
    net::tcp::socket& to = is_request ? link->engine : link->client;
    std::array<char, buffer_size> bytes{};
    net::io_error ec;
    while (!ec) {
        const auto space = net::asio::buffer(bytes);
        const std::size_t size = co_await from.async_read_some(space, net::store_error(ec));
        const auto part = net::asio::buffer(bytes.data(), size);
        if (!ec) {
            co_await net::asio::async_write(to, part, net::store_error(ec));
        }
    }
    net::io_error ignored;
    to.shutdown(net::tcp::socket::shutdown_send, ignored);
}

net::task<> run_link(std::shared_ptr<link> link, net::tcp::endpoint engine) {
    net::io_error ec;
    co_await link->engine.async_connect(engine, net::store_error(ec));
    if (ec) {
        co_return;
    }
    net::asio::co_spawn(link->client.get_executor(), pass_on(link, true), net::asio::detached);
    co_await pass_on(link, false);
}

net::task<> accept(front& front) {
    for (;;) {
        net::io_error ec;
        net::tcp::socket accepted = co_await front.acceptor.async_accept(net::store_error(ec));
        const bool is_known = !ec && !front.is_next_silent.empty();
        require(is_known, "a connection comes from a daemon");
        if (!is_known) {
            co_return;
        }
        const bool is_silent = front.is_next_silent.front();
        front.is_next_silent.pop_front();
        if (is_silent) {
            front.silent.push_back(std::move(accepted));
            continue;
        }
        auto link = std::make_shared<struct link>(std::move(accepted));
        const net::tcp::endpoint engine = net::parse_endpoint(front.engine).value();
        net::asio::co_spawn(front.acceptor.get_executor(), run_link(std::move(link), engine),
                            net::asio::detached);
    }
}

class silence_checks {
public:
    silence_checks() {
        for (int i = 0; i < engine_count; ++i) {
            const std::string id = str_cat("i-", i);
            const scripted_engine& engine = m_fleet.add_engine(id);
            m_fronts.push_back(
                std::make_unique<front>(m_fleet.loop.get_executor(), engine.endpoint()));
            m_fleet.memory.put(
                "servers/" + id,
                str_cat(R"({"service":"s","address":")", m_fronts.back()->endpoint,
                        R"(","zone":"a","version":"v1","slots":8,"state":"ready","seq":2,)",
                        R"("born":1})"));
            net::asio::co_spawn(m_fleet.loop, accept(*m_fronts.back()), net::asio::detached);
        }
        add_daemon(m_cut_off_host, [this](std::string_view endpoint) {
            find_front(endpoint).is_next_silent.push_back(m_is_cut);
            return false;
        });
        add_daemon(m_other_host, [this](std::string_view endpoint) {
            const bool has_ended = m_ended.contains(endpoint);
            if (!has_ended) {
                find_front(endpoint).is_next_silent.push_back(false);
            }
            return has_ended;
        });
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    struct tally {
        int served = 0;
        std::string others;
    };

    void add_daemon(const std::string& host, std::function<bool(std::string_view)> on_connect) {
        m_fleet.adjust_settings = [&](host::host_settings& settings) {
            settings.is_partitioned_from_target = std::move(on_connect);
        };
        m_fleet.add_daemon(host, true, false);
        m_fleet.adjust_settings = nullptr;
    }

    front& find_front(std::string_view endpoint) {
        for (const std::unique_ptr<front>& each : m_fronts) {
            if (each->endpoint == endpoint) {
                return *each;
            }
        }
        std::abort();
    }

    net::task<daemon_fixture::response> call(std::string host, std::string path) {
        net::http_request request =
            daemon_fixture::request(str_cat("r-", ++m_requests), std::move(path));
        request.headers.set("Deadline-Ms", "2500");
        co_return co_await m_fleet.call(m_fleet.caller_endpoint(host), std::move(request));
    }

    /// Sends one request of each kind in turn, and requires that all of them are served.
    net::task<> check_served(std::string host) {
        std::map<std::string, tally> by_path;
        for (int i = 0; i < rounds; ++i) {
            // What may be sent again comes first and looks for the end of the partition.
            for (const std::string path : {"/s/x", "/o/x", "/p/x"}) {
                const daemon_fixture::response answer = co_await call(host, path);
                const bool is_served =
                    answer.status == 200 && answer.complete && answer.body == five_events;
                tally& counts = by_path[path];
                counts.served += is_served ? 1 : 0;
                counts.others += is_served ? "" : str_cat(" ", answer.status);
            }
        }
        for (const auto& [path, counts] : by_path) {
            require(counts.served == rounds,
                    str_cat(host, " serves ", counts.served, " of ", rounds, " first tries on ",
                            path, "; the others got", counts.others));
        }
    }

    net::task<> run_checks() {
        m_fleet.configure(1);
        co_await m_fleet.wait_until_served(m_cut_off_host, "/s/x");
        co_await m_fleet.wait_until_served(m_other_host, "/s/x");
        m_is_cut = true;
        const time_point bound = steady_clock()() + contact_time;
        while (steady_clock()() < bound) {
            co_await call(m_cut_off_host, "/s/x");
        }
        co_await check_served(m_cut_off_host);
        for (int i = 0; i < ended_count; ++i) {
            m_ended.insert(m_fronts[i]->endpoint);
        }
        co_await check_served(m_other_host);
        co_await check_served(m_cut_off_host);
    }

    const std::string m_cut_off_host = "cut-off";
    const std::string m_other_host = "other";
    daemon_fixture m_fleet;
    std::vector<std::unique_ptr<front>> m_fronts;
    /// Whether new connections of the host "cut-off" carry nothing.
    bool m_is_cut = false;
    /// Endpoints of the engines that refuse connections; those of the host "cut-off" never arrive.
    std::set<std::string, std::less<>> m_ended;
    int m_requests = 0;
};

} // namespace

int main() {
    silence_checks().run();
}
