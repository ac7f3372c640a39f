/// \file
/// Defines pooled HTTP connections to one endpoint.
#pragma once

#include "base/clock.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>
#include <vector>

namespace httplib {
class Client;
}

namespace eelgrassdoor::http {

/// The deadlines of connections. Each is kept by the waiting side's own clock, because a frozen
/// or forgotten peer leaves the connection open.
struct client_options {
    duration connect_timeout = seconds(1);
    duration read_timeout = seconds(2);
    /// A pooled connection is not used again after this time without use.
    duration max_idle = seconds(10);
    /// A pooled connection is not used again after this time since it was made.
    duration max_age = seconds(120);
};

/// Splits `http://ADDRESS:PORT` or `ADDRESS:PORT`; the port is 0 when the text is malformed.
struct endpoint {
    std::string address;
    int port = 0;

    static endpoint parse(std::string_view text);
};

/// A pool of connections. Thread-safe.
class client_pool {
public:
    client_pool(std::string_view url, client_options options, clock_fn clock);
    ~client_pool();
    client_pool(const client_pool&) = delete;
    client_pool& operator=(const client_pool&) = delete;

    /// A connection that is in use. It goes back to the pool only by return_to_pool().
    class lease {
    public:
        lease(client_pool* pool, std::unique_ptr<httplib::Client> client, time_point created_at);
        lease(lease&&) noexcept;
        lease& operator=(lease&&) noexcept = delete;
        ~lease();
        httplib::Client& operator*() const { return *m_client; }
        httplib::Client* operator->() const { return m_client.get(); }
        /// Puts the connection back: call it only after a complete answer.
        void return_to_pool();

    private:
        client_pool* m_pool;
        std::unique_ptr<httplib::Client> m_client;
        time_point m_created_at;
    };

    /// A pooled connection, or a new one.
    lease acquire();
    /// A connection that nobody has used before.
    lease acquire_new();

private:
    struct idle_client {
        std::unique_ptr<httplib::Client> client;
        time_point created_at;
        time_point idle_since;
    };

    std::unique_ptr<httplib::Client> make() const;

    const endpoint m_endpoint;
    const client_options m_options;
    const clock_fn m_clock;
    absl::Mutex m_mutex;
    std::vector<idle_client> m_idle ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::http
