#include "stand_in/scripted_engine.hpp"

#include "base/text.hpp"
#include "net/notification.hpp"

namespace eelgrassdoor::test {

scripted_engine::scripted_engine(net::asio::any_io_executor executor, std::string endpoint)
    : m_executor(std::move(executor)), m_endpoint(std::move(endpoint)),
      m_server(std::make_unique<net::http_server>(
          m_executor, net::http_server_options{.endpoint = m_endpoint},
          [this](net::server_exchange& caller) { return handle(caller); })) {
    (void)m_server->start();
}

net::http_response scripted_engine::head(int status, const net::http_request& request) const {
    net::http_response out;
    out.status = status;
    out.headers.set("Attempt-Id", request.headers.get("Attempt-Id"));
    out.headers.set("Server-Seal", "seal-" + m_endpoint);
    if (m_leaving) {
        out.headers.set("Server-Leaving", "1");
    }
    return out;
}

net::task<> scripted_engine::handle(net::server_exchange& caller) {
    m_arrived.push_back(caller.request());
    engine_act act = engine_act::serve;
    if (!m_script.empty()) {
        act = m_script.front();
        m_script.pop_front();
    }
    ++m_running;
    const std::map<engine_act, int> plain = {
        {engine_act::refuse, 503}, {engine_act::fail, 500}, {engine_act::impossible, 422}};
    const auto status = plain.find(act);
    if (status != plain.end()) {
        net::http_response out = head(status->second, caller.request());
        if (act == engine_act::refuse) {
            out.headers.set("Not-Executed", "1");
        }
        co_await caller.respond(std::move(out));
    } else if (act == engine_act::hang) {
        co_await hang(caller);
    } else {
        if (act == engine_act::answer_other_first) {
            net::http_response other = head(200, caller.request());
            other.headers.set("Attempt-Id", "somebody-else");
            other.body = "not for this caller";
            co_await caller.respond(std::move(other));
        }
        co_await serve(caller, act == engine_act::cut);
    }
    --m_running;
}

net::task<> scripted_engine::hang(net::server_exchange& caller) {
    const auto left = std::make_shared<net::notification>(m_executor);
    caller.on_caller_left([left] { left->notify(); });
    co_await left->wait_until(steady_clock()() + seconds(30));
    ++m_dropped;
    caller.abort();
}

net::task<> scripted_engine::serve(net::server_exchange& caller, bool cut) {
    std::uint64_t first = 0;
    (void)parse_int(caller.request().headers.get("Last-Event-Id"), first);
    net::http_response out = head(200, caller.request());
    out.headers.set("Content-Type", "text/event-stream");
    bool open = co_await caller.begin(std::move(out));
    caller.on_caller_left([] {});
    for (std::uint64_t id = first + 1; open && id <= m_events; ++id) {
        const std::string event = str_cat("id: ", id, "\ndata: e", id, "\n\n");
        if (cut && id == first + 3) {
            co_await caller.write(event.substr(0, event.size() / 2));
            caller.abort();
            co_return;
        }
        open = co_await caller.write(event);
        net::notification step(m_executor);
        co_await step.wait_until(steady_clock()() + m_pace);
        open = open && !caller.caller_left();
    }
    if (!open) {
        ++m_dropped;
        caller.abort();
        co_return;
    }
    co_await caller.finish();
}

std::string free_endpoint(net::asio::any_io_executor executor) {
    net::tcp::acceptor acceptor(executor, {net::asio::ip::make_address("127.0.0.1"), 0});
    return str_cat("127.0.0.1:", acceptor.local_endpoint().port());
}

} // namespace eelgrassdoor::test
