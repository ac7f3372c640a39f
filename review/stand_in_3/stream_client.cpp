#include "stream_client.hpp"

#include "base/text.hpp"
#include "net/http_client.hpp"
#include "net/notification.hpp"

#include <algorithm>

namespace eelgrassdoor::review {

namespace {

/// Fewer streams are not judged.
constexpr int min_taken_up = 12;
/// A client waits for Retry-After up to this part of the time that it has left.
constexpr int max_wait_divisor = 3;
constexpr int retries = 1;

/// Reads the id of each whole event in \p text that follows the last one.
void read_events(const std::string& text, stream& state, stream_answer& answer) {
    for (std::size_t at = text.find("\nid: "); at != std::string::npos;
         at = text.find("\nid: ", at + 1)) {
        const std::size_t line_end = text.find('\n', at + 1);
        std::uint64_t id = 0;
        const bool is_whole =
            line_end != std::string::npos && text.find("\n\n", line_end) != std::string::npos;
        if (is_whole && parse_int(text.substr(at + 5, line_end - at - 5), id) &&
            id > state.last_event) {
            answer.first_event = answer.first_event == 0 ? id : answer.first_event;
            state.last_event = id;
        }
    }
}

/// The value of Retry-After in the head of \p text.
duration retry_after_of(const std::string& text) {
    constexpr std::string_view name = "\r\nRetry-After: ";
    const std::size_t at = text.find(name);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size();
    double value = 0;
    (void)parse_double(text.substr(begin, text.find("\r\n", begin) - begin), value);
    return from_seconds(value);
}

} // namespace

net::http_request stream_request(const std::string& attempt, duration left) {
    net::http_request request =
        fleet::request("POST", "/q/a", attempt, str_cat("body of ", attempt));
    request.headers.set("Deadline-Ms", std::to_string(to_ms(left)));
    return request;
}

net::task<stream_answer> read_stream(fleet& all, std::size_t host, net::http_request request,
                                     stream& state, time_point end) {
    stream_answer answer;
    const auto executor = co_await net::asio::this_coro::executor;
    const auto connected = co_await net::http_client::connect(
        executor, all.entry(host).caller_endpoint(), std::min(end, steady_clock()() + seconds(1)));
    if (!connected) {
        co_return answer;
    }
    const std::shared_ptr<net::tcp_connection>& connection = connected.value();
    connection->set_deadline(end);
    net::io_error ec = co_await connection->write(net::serialize(request));
    std::string text;
    while (!ec && !state.is_closed) {
        ec = co_await connection->read_more();
        text += std::exchange(connection->input(), {});
        if (answer.status == 0 && text.size() > 12) {
            (void)parse_int(text.substr(9, 3), answer.status);
        }
        read_events(text, state, answer);
        if (answer.status >= 300 && text.find("\r\n\r\n") != std::string::npos) {
            answer.retry_after = retry_after_of(text);
            break;
        }
    }
    connection->close();
    co_return answer;
}

net::task<> take_up(fleet& all, const stream& broken, std::size_t host, time_point end,
                    take_up_counts& counts) {
    const std::size_t hosts = all.entries().size();
    ++counts.taken_up;
    for (int attempt = 0; attempt <= retries; ++attempt) {
        stream rest{.attempt = str_cat(broken.attempt, "b", attempt),
                    .last_event = broken.last_event};
        net::http_request request = stream_request(rest.attempt, end - steady_clock()());
        request.headers.set("Last-Event-Id", std::to_string(broken.last_event));
        request.headers.set("Resumes", broken.attempt);
        const stream_answer answer = co_await read_stream(
            all, (host + static_cast<std::size_t>(attempt)) % hosts, std::move(request), rest, end);
        const bool goes_on = answer.status == 200 && answer.first_event == broken.last_event + 1;
        counts.go_on += goes_on ? 1 : 0;
        all.record(str_cat("stream ", broken.attempt, " is taken up after event ",
                           broken.last_event, " by ", rest.attempt, ": answer ", answer.status,
                           ", first event ", answer.first_event));
        const bool is_refused = answer.status == 503 || answer.status == 429;
        if (!is_refused || attempt == retries) {
            break;
        }
        const duration longest = (end - steady_clock()()) / max_wait_divisor;
        co_await all.wait(std::min(answer.retry_after, longest));
    }
}

net::task<> begin_new(fleet& all, std::size_t number, std::size_t host, time_point end,
                      take_up_counts& counts) {
    stream state{.attempt = str_cat("new", number)};
    ++counts.new_streams;
    const stream_answer answer = co_await read_stream(
        all, host, stream_request(state.attempt, end - steady_clock()()), state, end);
    counts.begin += answer.status == 200 && answer.first_event == 1 ? 1 : 0;
    all.record(str_cat("new stream ", state.attempt, ": answer ", answer.status, ", first event ",
                       answer.first_event));
}

int judge_take_up(fleet& all, const take_up_counts& counts) {
    all.record(str_cat("streams taken up ", counts.taken_up, ", go on ", counts.go_on,
                       "; new streams ", counts.new_streams, ", begin ", counts.begin));
    if (counts.taken_up < min_taken_up || counts.begin == 0) {
        return could_not_run;
    }
    const double share = static_cast<double>(counts.go_on) / counts.taken_up;
    const double usual = static_cast<double>(counts.begin) / counts.new_streams;
    return share < usual / 2 ? rule_broken : rule_held;
}

} // namespace eelgrassdoor::review
