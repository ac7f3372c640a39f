/// \file
/// Defines the daemon of one host, which owns and connects all services.
#pragma once

#include "base/clock.hpp"
#include "settings/daemon_settings.hpp"

#include <memory>
#include <string>

namespace eelgrassdoor {

/// The daemon. Usage: construct, start(), wait for a termination signal, drain(). Call these from
/// one thread.
class host_daemon {
public:
    explicit host_daemon(settings::daemon_settings settings);
    ~host_daemon();
    host_daemon(const host_daemon&) = delete;
    host_daemon& operator=(const host_daemon&) = delete;

    /// Starts all services and the HTTP server. Returns false when a port is in use.
    bool start();
    /// Shuts down gracefully: `/readyz` fails at once, new requests are served for the configured
    /// drain time, then all services stop once the requests in flight have completed. Batch jobs
    /// are released at the start, so that other hosts take them over at once. Blocks until the end.
    void drain();

private:
    struct components;
    std::unique_ptr<components> m_components;
};

} // namespace eelgrassdoor
