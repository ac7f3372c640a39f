#include "target/exchange.hpp"

#include "base/text.hpp"
#include "http/client_pool.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <httplib.h>

#include <optional>

namespace eelgrassdoor::target {

namespace {

/// Read timeout of the worker's socket: a backstop behind the deadlines of the reader.
constexpr duration socket_read_timeout = seconds(120);
/// The worker stops receiving while this many bytes wait for the reader.
constexpr std::size_t max_unread_bytes = 1U << 20U;
/// Statuses of final responses (RFC 9110, section 15). The HTTP library takes any three digits, and
/// skips no informational response but 100.
constexpr int min_final_status = 200;
constexpr int max_final_status = 599;

/// Maps a failure of the HTTP library. Only a failure to connect proves that nothing was sent.
error to_error(httplib::Error cause, bool cancelled) {
    const bool sent =
        cause != httplib::Error::Connection && cause != httplib::Error::ConnectionTimeout;
    if (cancelled) {
        return {error_code::deadline_exceeded, "the target did not respond before the deadline",
                sent ? run_state::unknown : run_state::not_run};
    }
    return {error_code::target_failed,
            sent ? "the connection to the target broke" : "cannot connect to the target",
            sent ? run_state::unknown : run_state::not_run};
}

error invalid_status_error(int status) {
    return {error_code::target_failed, str_cat("the target sent the invalid status ", status),
            run_state::unknown};
}

response_head to_response_head(const httplib::Response& response) {
    response_head head;
    head.status = response.status;
    for (const auto& [name, value] : response.headers) {
        head.headers.emplace_back(name, value);
    }
    return head;
}

} // namespace

std::string_view response_head::header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
        if (equals_ignore_case(key, name)) {
            return value;
        }
    }
    return {};
}

/// State shared by the worker thread, which fills it, and the reader, which consumes it.
struct exchange::shared_state {
    absl::Mutex mutex;
    std::optional<response_head> head ABSL_GUARDED_BY(mutex);
    std::string unread ABSL_GUARDED_BY(mutex);
    std::optional<error> failure ABSL_GUARDED_BY(mutex);
    bool ended ABSL_GUARDED_BY(mutex) = false;
    bool cancelled ABSL_GUARDED_BY(mutex) = false;
    /// The connection while the worker uses it, else null. cancel() stops it from another thread.
    httplib::Client* client ABSL_GUARDED_BY(mutex) = nullptr;

    void run(http::client_pool::lease lease, const target_request& request);
    bool on_head(const httplib::Response& response);
    bool on_data(std::string_view data);
};

bool exchange::shared_state::on_head(const httplib::Response& response) {
    const absl::MutexLock lock(&mutex);
    if (response.status < min_final_status || response.status > max_final_status) {
        failure = invalid_status_error(response.status);
        return false;
    }
    head = to_response_head(response);
    return !cancelled;
}

bool exchange::shared_state::on_data(std::string_view data) {
    const absl::MutexLock lock(&mutex);
    const auto has_room = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
        return cancelled || unread.size() < max_unread_bytes;
    };
    mutex.Await(absl::Condition(&has_room));
    unread.append(data);
    return !cancelled;
}

void exchange::shared_state::run(http::client_pool::lease lease, const target_request& request) {
    {
        const absl::MutexLock lock(&mutex);
        if (cancelled) {
            ended = true;
            failure = to_error(httplib::Error::Connection, true);
            return;
        }
        client = &*lease;
    }
    lease->set_read_timeout(socket_read_timeout);
    httplib::Request out;
    out.method = request.method;
    out.path = request.path;
    out.body = request.body;
    for (const auto& [name, value] : request.headers) {
        out.headers.emplace(name, value);
    }
    out.response_handler = [this](const httplib::Response& response) { return on_head(response); };
    out.content_receiver = [this](const char* data, std::size_t size, std::uint64_t,
                                  std::uint64_t) {
        return on_data({data, size});
    };
    const httplib::Result response = lease->send(out);
    const absl::MutexLock lock(&mutex);
    client = nullptr;
    if (response && !cancelled) {
        lease.return_to_pool();
    } else if (!failure) {
        failure = to_error(response ? httplib::Error::Canceled : response.error(), cancelled);
    }
    ended = true;
}

exchange::exchange(worker_pool& workers, http::client_pool& connections, target_request request)
    : m_state(std::make_shared<shared_state>()) {
    const bool started =
        workers.submit([state = m_state, &connections, request = std::move(request)] {
            state->run(request.fresh_connection ? connections.acquire_new() : connections.acquire(),
                       request);
        });
    if (!started) {
        const absl::MutexLock lock(&m_state->mutex);
        m_state->failure =
            error{error_code::overloaded, "the worker pool is stopped or its queue is full",
                  run_state::not_run, seconds(1)};
        m_state->ended = true;
    }
}

exchange::~exchange() {
    cancel();
}

void exchange::cancel() {
    const absl::MutexLock lock(&m_state->mutex);
    m_state->cancelled = true;
    if (m_state->client != nullptr) {
        m_state->client->stop();
    }
}

result<response_head> exchange::wait_for_head(duration timeout) {
    shared_state& s = *m_state;
    {
        const absl::MutexLock lock(&s.mutex);
        const auto ready = [&s]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(s.mutex) {
            return s.ended || s.head.has_value();
        };
        s.mutex.AwaitWithTimeout(absl::Condition(&ready), absl::FromChrono(timeout));
        if (s.head) {
            return *s.head;
        }
        if (s.failure) {
            return *s.failure;
        }
    }
    cancel();
    return error{error_code::deadline_exceeded, "the target did not respond before the deadline",
                 run_state::unknown};
}

read_result exchange::read(duration timeout) {
    shared_state& s = *m_state;
    const absl::MutexLock lock(&s.mutex);
    const auto ready = [&s]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(s.mutex) {
        return s.ended || !s.unread.empty();
    };
    if (!s.mutex.AwaitWithTimeout(absl::Condition(&ready), absl::FromChrono(timeout))) {
        return {read_state::timeout, {}};
    }
    if (!s.unread.empty()) {
        return {read_state::data, std::exchange(s.unread, {})};
    }
    return {s.failure ? read_state::failed : read_state::end, {}};
}

result<std::string> exchange::read_all(duration timeout_between_bytes, std::size_t max_bytes) {
    std::string body;
    while (true) {
        read_result chunk = read(timeout_between_bytes);
        switch (chunk.state) {
        case read_state::data:
            body += chunk.data;
            break;
        case read_state::end:
            return body;
        case read_state::timeout:
            cancel();
            return error{error_code::deadline_exceeded, "the target stopped sending its response",
                         run_state::unknown};
        case read_state::failed:
            return error{error_code::target_failed,
                         "the connection to the target broke before the end of the response",
                         run_state::unknown};
        }
        if (body.size() > max_bytes) {
            cancel();
            return error{error_code::target_failed, "the target's response exceeds the size limit",
                         run_state::unknown};
        }
    }
}

} // namespace eelgrassdoor::target
