/// \file
/// Defines the daemon: all services of one host wired together.
#pragma once

#include "base/clock.hpp"
#include "settings/daemon_settings.hpp"

#include <memory>
#include <string>

namespace eelgrassdoor {

/// One daemon. Use: construct, start(), wait for the signal to end, drain().
class host_daemon {
public:
    explicit host_daemon(settings::daemon_settings settings);
    ~host_daemon();
    host_daemon(const host_daemon&) = delete;
    host_daemon& operator=(const host_daemon&) = delete;

    /// Starts listening; returns false when a port is taken.
    bool start();
    /// Shuts down gracefully: `/readyz` fails at once, requests are served through the drain time
    /// and until the ones in hand have ended, then the daemon stops.
    void drain();

private:
    struct components;
    std::unique_ptr<components> m_components;
};

} // namespace eelgrassdoor
