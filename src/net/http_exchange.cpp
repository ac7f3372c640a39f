#include "net/http_exchange.hpp"

#include "base/text.hpp"

#include <algorithm>

namespace eelgrassdoor::net {

http_exchange::http_exchange(std::shared_ptr<tcp_connection> connection, parse_limits limits,
                             memory_budget* budget)
    : m_connection(std::move(connection)), m_limits(limits), m_memory(budget),
      m_parser(std::make_unique<response_parser>(limits)) {}

http_exchange::~http_exchange() = default;

task<> http_exchange::write_all(std::shared_ptr<tcp_connection> connection,
                                std::shared_ptr<pending_write> pending) {
    const io_error ec = co_await connection->write(pending->bytes);
    pending->done = true;
    pending->failed = static_cast<bool>(ec);
    pending->bytes.clear();
    pending->on_done.notify();
}

void http_exchange::send(const http_request& request) {
    m_write = std::make_shared<pending_write>(m_connection->executor());
    m_write->bytes = serialize(request);
    m_parser = std::make_unique<response_parser>(m_limits);
    asio::co_spawn(m_connection->executor(), write_all(m_connection, m_write), asio::detached);
}

error http_exchange::failure(std::string_view description) const {
    const run_state run = m_write ? run_state::unknown : run_state::not_run;
    if (m_connection->timed_out()) {
        return {error_code::deadline_exceeded, str_cat(description, ": timeout"), run};
    }
    return {error_code::target_failed, std::string(description), run};
}

task<bool> http_exchange::wait_until_sent() {
    const std::shared_ptr<pending_write> pending = m_write;
    while (pending && !pending->done) {
        co_await pending->on_done.wait_until(time_point::max());
    }
    co_return !pending || !pending->failed;
}

task<result<void>> http_exchange::advance() {
    std::string& input = m_connection->input();
    const std::size_t used = m_parser->feed(input);
    input.erase(0, used);
    if (m_parser->fault() == parse_fault::body_too_large) {
        co_return failure("the response is too large");
    }
    if (m_parser->fault() != parse_fault::none) {
        co_return failure("the response is malformed");
    }
    if (!reserve_memory(0)) {
        co_return failure("the response needs more memory than is left for responses");
    }
    if (used > 0) {
        co_return success();
    }
    const io_error ec = co_await m_connection->read_more();
    if (ec == asio::error::eof) {
        m_parser->feed_eof();
        if (!m_parser->complete()) {
            co_return failure("the connection was closed before the end of the response");
        }
        // A peer may close its sending side before it resets the connection.
        const bool is_sent = co_await wait_until_sent();
        if (!is_sent) {
            co_return failure("the connection broke before the end of the request");
        }
        co_return success();
    }
    if (ec) {
        co_return failure("the connection broke before the end of the response");
    }
    co_return success();
}

bool http_exchange::reserve_memory(std::uint64_t expected) {
    const std::size_t held = m_connection->input().size() + m_parser->message().body.size();
    const std::size_t needed = std::max<std::size_t>(held, expected);
    const bool has_room = !m_has_room || m_has_room(needed);
    return has_room && m_memory.resize(needed);
}

task<result<void>> http_exchange::read_head() {
    if (m_parser->complete()) {
        m_parser = std::make_unique<response_parser>(m_limits);
    }
    while (!m_parser->has_head()) {
        const result<void> step = co_await advance();
        if (!step) {
            co_return step.error();
        }
    }
    co_return success();
}

task<result<bool>> http_exchange::read_body() {
    while (!m_parser->complete() && m_parser->message().body.empty()) {
        const result<void> step = co_await advance();
        if (!step) {
            co_return step.error();
        }
    }
    co_return !m_parser->message().body.empty() || !m_parser->complete();
}

task<result<void>> http_exchange::read_all(std::function<void()> on_progress) {
    while (!m_parser->complete()) {
        if (!reserve_memory(m_parser->message().content_length.value_or(0))) {
            co_return failure("the response needs more memory than is left for responses");
        }
        const result<void> step = co_await advance();
        if (!step) {
            co_return step.error();
        }
        if (on_progress) {
            on_progress();
        }
    }
    co_return success();
}

bool http_exchange::reusable() {
    return m_parser->complete() && m_parser->message().keep_alive && m_parser->message().framed &&
           m_write && m_write->done && !m_write->failed && m_connection->is_open() &&
           m_connection->input().empty();
}

} // namespace eelgrassdoor::net
