/// \file
/// Guards against a response to an exchange over cpp-httplib that is taken as an answer though its
/// status has no class, or as a whole one though its connection was reset.
#include "base/text.hpp"
#include "base/worker_pool.hpp"
#include "check.hpp"
#include "http/client_pool.hpp"
#include "stand_in/raw_target.hpp"
#include "target/exchange.hpp"

#include <csignal>
#include <cstdlib>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace {

using namespace eelgrassdoor;
using eelgrassdoor::test::finish;
using eelgrassdoor::test::raw_target;
using eelgrassdoor::test::require;

constexpr duration patience = seconds(20);
constexpr std::size_t max_body_bytes = 1024;
/// Less and more than the kernel holds for a connection whose other end does not read.
constexpr std::size_t upload_sizes[] = {256 * 1024, 6 * 1024 * 1024};

/// What the target responds to one request.
struct sample {
    std::string name;
    raw_target::response response;
};

/// Responses of which one byte of the body is `x`.
std::vector<sample> make_responses(std::string_view status) {
    const std::string head = str_cat("HTTP/1.1 ", status, "\r\n");
    return {{str_cat(status, " with a length"), {str_cat(head, "Content-Length: 1\r\n\r\nx")}},
            {str_cat(status, " in chunks"),
             {str_cat(head, "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")}},
            {str_cat(status, " without framing"), {str_cat(head, "\r\nx")}}};
}

/// Responses without framing, in the middle of which the connection is reset.
std::vector<sample> make_resets() {
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: ";
    const std::string plain = str_cat(head, "text/plain\r\n\r\n", std::string(30, 'x'));
    const std::string stream =
        str_cat(head, "text/event-stream\r\n\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    std::vector<sample> out;
    for (const int delay_ms : {0, 5, 30, 200}) {
        const duration delay = milliseconds(delay_ms);
        out.push_back({str_cat("plain, reset after ", delay_ms, " ms"),
                       {.bytes = plain, .reset = true, .end_delay = delay}});
        out.push_back({str_cat("stream, reset after ", delay_ms, " ms"),
                       {.bytes = stream, .reset = true, .end_delay = delay}});
    }
    return out;
}

/// Runs exchanges with a target on an event loop of its own. Must live until the program exits.
class exchange_checks {
public:
    /// \p samples are the target's responses; the path of a request names the index of one.
    exchange_checks(std::vector<sample> samples, bool responds_early)
        : m_samples(std::move(samples)), m_target(m_loop.get_executor()) {
        m_target.set_responds_early(
            [responds_early](const net::http_request&) { return responds_early; });
        m_target.set_responder([this](const net::http_request& request) {
            std::size_t index = 0;
            (void)parse_int(std::string_view(request.target).substr(1), index);
            return m_samples.at(index).response;
        });
        m_target.start();
        m_thread = std::thread([this] { m_loop.run(); });
    }
    exchange_checks(const exchange_checks&) = delete;
    exchange_checks& operator=(const exchange_checks&) = delete;

    void check_answers() {
        for (std::size_t i = 0; i < m_samples.size(); ++i) {
            target::exchange exchange = start(i, "{}", true);
            const result<target::response_head> head = exchange.wait_for_head(patience);
            require(head.has_value(), m_samples[i].name + " is an answer");
            const result<std::string> body = exchange.read_all(patience, max_body_bytes);
            require(body && body.value() == "x", m_samples[i].name + " arrives whole");
        }
    }

    void check_no_answers() {
        for (std::size_t i = 0; i < m_samples.size(); ++i) {
            target::exchange exchange = start(i, "{}", true);
            const result<target::response_head> head = exchange.wait_for_head(patience);
            require(!head, m_samples[i].name + " is no answer");
            require(head || head.error().code == error_code::target_failed,
                    m_samples[i].name + " is a failure of the target");
            require(head || head.error().run == run_state::unknown,
                    m_samples[i].name + " does not tell whether the request ran");
        }
    }

    /// Sends long requests over new connections or over one that has carried another request.
    void check_resets_while_sending(bool fresh_connection) {
        for (const std::size_t upload_bytes : upload_sizes) {
            for (std::size_t i = 0; i < m_samples.size(); ++i) {
                check_reset_while_sending(i, upload_bytes, fresh_connection);
            }
        }
    }

private:
    void check_reset_while_sending(std::size_t index, std::size_t upload_bytes,
                                   bool fresh_connection) {
        const std::string name = str_cat(m_samples[index].name, ", ", upload_bytes, " bytes, ",
                                         fresh_connection ? "new" : "kept", " connection");
        if (!fresh_connection) {
            keep_connection();
        }
        target::exchange exchange = start(index, std::string(upload_bytes, 'b'), fresh_connection);
        const result<target::response_head> head = exchange.wait_for_head(patience);
        const result<std::string> body = exchange.read_all(patience, max_body_bytes);
        require(!body, name + " is not complete");
        require(head || head.error().run == run_state::unknown,
                name + " does not tell whether the request ran");
    }
    target::exchange start(std::size_t index, std::string body, bool fresh_connection) {
        return {m_workers, m_connections,
                target::target_request{.path = str_cat("/", index),
                                       .body = std::move(body),
                                       .fresh_connection = fresh_connection}};
    }
    /// Leaves a connection in the pool that has carried a request.
    void keep_connection() {
        target::exchange exchange(m_workers, m_connections,
                                  target::target_request{.method = "GET",
                                                         .path = "/eelgrassdoor/report",
                                                         .fresh_connection = true});
        const result<std::string> body = exchange.read_all(patience, max_body_bytes);
        require(body.has_value(), "a connection has carried a request");
    }

    const std::vector<sample> m_samples;
    net::asio::io_context m_loop{1};
    raw_target m_target;
    std::thread m_thread;
    http::client_pool m_connections{m_target.endpoint(), {}, steady_clock()};
    worker_pool m_workers{4};
};

/// The responses with each of \p statuses.
std::vector<sample> make_responses(const std::vector<std::string>& statuses) {
    std::vector<sample> out;
    for (const std::string& status : statuses) {
        for (sample& each : make_responses(std::string_view(status))) {
            out.push_back(std::move(each));
        }
    }
    return out;
}

} // namespace

int main() {
    // As in the daemon: a write to a reset connection is to return its error.
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<sample> answers =
        make_responses({"200 OK", "299 X", "404 Not Found", "503 X", "599 X"});
    answers.push_back({"200 OK after a 100",
                       {"HTTP/1.1 100 Continue\r\n\r\n"
                        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"}});
    exchange_checks valid(std::move(answers), false);
    valid.check_answers();
    exchange_checks invalid(make_responses({"000 X", "099 X", "000 ", "600 X", "999 X"}), false);
    invalid.check_no_answers();
    exchange_checks informational(make_responses({"101 X", "102 X", "103 X", "199 X"}), false);
    informational.check_no_answers();
    exchange_checks resets(make_resets(), true);
    resets.check_resets_while_sending(true);
    resets.check_resets_while_sending(false);
    const int status = finish();
    std::fflush(stdout);
    // The targets' accept loops refer to the event loops, so neither can be destroyed first.
    std::_Exit(status);
}
