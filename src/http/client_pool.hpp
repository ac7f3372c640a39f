/// \file
/// Defines a pool of HTTP connections to one endpoint.
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

/// Timeouts of connections. They are enforced locally, because a peer that hangs or has lost the
/// state of the connection does not close it.
struct client_options {
    duration connect_timeout = seconds(1);
    /// Longest wait for the socket to become readable; also used for writes. It bounds each wait
    /// and not the whole response.
    duration read_timeout = seconds(2);
    /// Longest time that a pooled connection may be idle before it is reused.
    duration max_idle_time = seconds(10);
    /// Longest time since its creation for which a connection is reused.
    duration max_age = seconds(120);
};

/// Address and port of a server.
struct endpoint {
    std::string address;
    int port = 0;

    /// Parses `http://ADDRESS:PORT` or `ADDRESS:PORT`; the port is 0 when \p text is malformed.
    static endpoint parse(std::string_view text);
};

/// A pool of connections, which must outlive its leases. Thread-safe.
class client_pool {
public:
    /// \p url has the form that endpoint::parse() takes; with a malformed one, all requests fail.
    client_pool(std::string_view url, client_options options, clock_fn clock);
    ~client_pool();
    client_pool(const client_pool&) = delete;
    client_pool& operator=(const client_pool&) = delete;

    /// A connection in use. It is closed on destruction unless return_to_pool() was called.
    class lease {
    public:
        lease(client_pool* pool, std::unique_ptr<httplib::Client> client, time_point created_at);
        lease(lease&&) noexcept;
        lease& operator=(lease&&) noexcept = delete;
        ~lease();
        httplib::Client& operator*() const { return *m_client; }
        httplib::Client* operator->() const { return m_client.get(); }
        /// Makes the connection available for reuse, if it is not too old. Call it only after a
        /// complete response, and do not use the lease afterwards.
        void return_to_pool();

    private:
        client_pool* m_pool;
        std::unique_ptr<httplib::Client> m_client;
        time_point m_created_at;
    };

    /// Returns the most recently used idle connection within max_idle_time and max_age, or else a
    /// new one. New connections connect on first use.
    lease acquire();
    /// Returns a new connection, even if idle ones are available.
    lease acquire_new();

private:
    struct idle_client {
        std::unique_ptr<httplib::Client> client;
        time_point created_at;
        time_point idle_since;
    };

    std::unique_ptr<httplib::Client> make_client() const;

    const endpoint m_endpoint;
    const client_options m_options;
    const clock_fn m_clock;
    absl::Mutex m_mutex;
    std::vector<idle_client> m_idle ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::http
