#include "base/text.hpp"
#include "net/http_client.hpp"
#include "net/http_exchange.hpp"
#include "net/notification.hpp"
#include "soak/soak_clients.hpp"

#include <cstdio>
#include <utility>

namespace eelgrassdoor::test {

namespace {

constexpr duration stream_deadline = seconds(5);
constexpr duration connect_timeout = seconds(1);
constexpr duration retry_delay = milliseconds(350);
constexpr int max_tries = 4;
/// A caller that moves to another host leaves after one of the first events, or in a silence.
constexpr std::uint64_t last_wanted_events = 8;
constexpr duration moving_patience = milliseconds(300);

} // namespace

/// One try of a stream. It may go on after its caller has given it up.
struct soak_clients::stream_try {
    stream_try(std::shared_ptr<net::tcp_connection> connection, stream_text& text,
               std::string attempt)
        : exchange(connection), text(&text), attempt(std::move(attempt)),
          progress(connection->executor()) {}

    net::http_exchange exchange;
    /// Unset once the caller has given up.
    stream_text* text;
    std::string attempt;
    /// Notified when bytes have arrived and at the end.
    net::notification progress;
    bool ended = false;
    bool whole = false;
};

duration soak_clients::patience() const {
    return m_traffic.patience > duration() ? m_traffic.patience : 2 * stream_deadline;
}

net::task<> soak_clients::run_stream(int number) {
    stream_text text{.patience = patience()};
    const time_point deadline = steady_clock()() + stream_deadline;
    for (int attempt = 0; attempt < max_tries && !text.whole && steady_clock()() < deadline;
         ++attempt) {
        const std::uint64_t before = text.last_event;
        const daemon_process& host = random_entry_host();
        const std::string endpoint = host.caller_endpoint();
        const std::string target = str_cat("/p/", random_id());
        const time_point sent_at = steady_clock()();
        (void)co_await try_stream(endpoint, target, text, deadline);
        if (attempt == 0) {
            record(host, request_kind::stream, sent_at, text.whole);
        }
        text.resumed = text.resumed || (before > 0 && text.last_event > before);
        if (!text.whole) {
            co_await m_fleet.wait(retry_delay);
        }
    }
    ++m_counts.streams;
    m_counts.whole_streams += text.whole ? 1 : 0;
    m_counts.resumed_streams += text.resumed ? 1 : 0;
    check_stream(str_cat("stream ", number), text);
}

net::task<> soak_clients::run_moving_stream(std::string path, daemon_process& next) {
    stream_text text{.last_wanted = 1 + m_random.below(last_wanted_events),
                     .patience = moving_patience};
    const time_point deadline = steady_clock()() + stream_deadline;
    const daemon_process* host = &next;
    while (host == &next) {
        host = &random_entry_host();
    }
    std::uint64_t first_part = 0;
    for (int attempt = 0; attempt < max_tries && !text.whole && steady_clock()() < deadline;
         ++attempt) {
        const std::string endpoint = host->caller_endpoint();
        const std::string target = path + random_id();
        (void)co_await try_stream(endpoint, target, text, deadline);
        if (attempt == 0) {
            first_part = text.last_event;
            text.last_wanted = 0;
            text.patience = patience();
            host = &next;
        } else {
            co_await m_fleet.wait(retry_delay);
            host = &random_entry_host();
        }
    }
    if (first_part > 0) {
        ++m_counts.moved_streams;
        m_counts.resumed_moved_streams += text.last_event > first_part ? 1 : 0;
    }
    check_stream(path, text);
}

net::task<> soak_clients::run_once_stream() {
    stream_text text{.patience = patience()};
    const daemon_process& host = random_entry_host();
    const std::string endpoint = host.caller_endpoint();
    const std::string target = str_cat(once_stream_path, random_id());
    const time_point sent_at = steady_clock()();
    const int status = co_await try_stream(endpoint, target, text, sent_at + stream_deadline);
    record(host, request_kind::once, sent_at, text.whole);
    if (status == 503 || status == 429) {
        m_refused.insert(target);
    }
    ++m_counts.once_streams;
    m_counts.whole_once_streams += text.whole ? 1 : 0;
    check_stream(target, text);
}

void soak_clients::check_stream(const std::string& name, const stream_text& text) {
    if (text.whole && text.last_event != events_per_stream) {
        m_counts.faults.push_back(
            str_cat(name, " (", text.first_attempt, ") is whole after event ", text.last_event));
    }
    if (text.versions.size() > 1) {
        ++m_counts.mixed_streams;
        std::string parts;
        for (const stream_part& each : text.parts) {
            str_append(parts, " ", each.attempt, " from event ", each.first_event, " ",
                       each.version);
        }
        std::printf("%s holds events of two versions:%s\n", name.c_str(), parts.c_str());
    }
}

void soak_clients::check_plain(const std::string& name, std::string body, std::uint64_t events) {
    stream_text text;
    take_events(body, text, name);
    if (!body.empty() || text.last_event != events || text.versions.size() != 1) {
        m_counts.faults.push_back(str_cat("the answer to ", name, " is whole after event ",
                                          text.last_event, ", with ", text.versions.size(),
                                          " versions"));
    }
}

net::task<int> soak_clients::try_stream(std::string endpoint, std::string target, stream_text& text,
                                        time_point deadline) {
    const time_point now = steady_clock()();
    auto opened = co_await net::http_client::connect(m_loop.get_executor(), endpoint,
                                                     std::min(deadline, now + connect_timeout));
    if (!opened) {
        co_return 0;
    }
    opened.value()->set_deadline(deadline);
    net::http_request request;
    request.method = "POST";
    const std::string attempt = target.substr(target.rfind('/') + 1);
    request.target = std::move(target);
    request.body = "{}";
    request.headers.set("Host", "h");
    request.headers.set("Attempt-Id", attempt);
    request.headers.set("Credential", "key-1");
    request.headers.set("Deadline-Ms", std::to_string(to_ms(deadline - now)));
    if (m_fleet.has_cuts()) {
        // As in production, requests share the first parts of their prompts.
        const std::string own = attempt.substr(1);
        request.headers.set("Prompt-Prefix",
                            str_cat("a:200,", own.substr(0, 1), ":100,", own, ":20"));
    }
    if (text.last_event > 0) {
        request.headers.set("Last-Event-Id", std::to_string(text.last_event));
        request.headers.set("Resumes", text.first_attempt);
    }
    const auto one = std::make_shared<stream_try>(opened.value(), text, attempt);
    one->exchange.send(request);
    spawn(read_stream(one));
    bool patient = true;
    while (!one->ended && patient) {
        const bool progress = co_await one->progress.wait_until(steady_clock()() + text.patience);
        patient = progress && (text.last_wanted == 0 || text.last_event < text.last_wanted);
    }
    one->text = nullptr;
    text.whole = one->whole;
    if (!one->ended) {
        ++m_counts.given_up_streams;
        // Otherwise this run goes on beside the next one.
        if (m_random.below(2) == 0) {
            one->exchange.connection()->close();
        }
    }
    co_return one->exchange.response().status;
}

net::task<> soak_clients::read_stream(std::shared_ptr<stream_try> one) {
    const result<void> head = co_await one->exchange.read_head();
    bool open = head && one->exchange.response().status == 200;
    std::string bytes;
    while (open) {
        const result<bool> more = co_await one->exchange.read_body();
        bytes += std::exchange(one->exchange.response().body, {});
        if (one->text != nullptr) {
            take_events(bytes, *one->text, one->attempt);
        }
        open = more && more.value();
        one->whole = more && !open && bytes.empty();
        one->progress.notify();
    }
    one->exchange.connection()->close();
    one->ended = true;
    one->progress.notify();
}

void soak_clients::take_events(std::string& bytes, stream_text& text, const std::string& attempt) {
    for (std::size_t end = bytes.find("\n\n"); end != std::string::npos; end = bytes.find("\n\n")) {
        const std::string event = bytes.substr(0, end);
        bytes.erase(0, end + 2);
        std::string_view rest = event;
        std::uint64_t id = 0;
        const std::size_t data = event.find("\ndata: ");
        const bool has_id = consume_prefix(rest, "id: ") && data != std::string::npos &&
                            parse_int(rest.substr(0, data - 4), id);
        const std::string expected = str_cat("e", text.last_event + 1);
        const std::string content = has_id ? event.substr(data + 7) : "";
        const std::size_t mark = content.find('e');
        if (!has_id || id != text.last_event + 1 || mark == std::string::npos ||
            content.substr(mark) != expected) {
            m_counts.faults.push_back(str_cat("stream ", text.first_attempt, ", attempt ", attempt,
                                              ": after event ", text.last_event, " came \"", event,
                                              "\""));
        }
        if (text.last_event == 0) {
            text.first_attempt = attempt;
        }
        text.last_event = id;
        const std::string version = content.substr(0, mark);
        text.versions.insert(version);
        if (text.parts.empty() || text.parts.back().attempt != attempt ||
            text.parts.back().version != version) {
            text.parts.push_back({.attempt = attempt, .version = version, .first_event = id});
        }
    }
}

} // namespace eelgrassdoor::test
