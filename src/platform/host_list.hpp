/// \file
/// Defines the platform's list of the hosts that run daemons and targets, and its client.
#pragma once

#include "base/error.hpp"
#include "http/client_pool.hpp"
#include "peer/drop_list.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::platform {

/// What runs on a host: a daemon (entry) or a target (engine or service).
enum class host_kind { entry, engine, service };

/// One entry of the host list.
struct listed_host {
    std::string host;
    std::string availability_zone;
    host_kind kind = host_kind::entry;
    std::string address;
    /// Port for callers (entry hosts) or for the target's API.
    int http_port = 0;
    /// Port between daemons; 0 for targets.
    int peer_port = 0;
    /// Whether the platform lists the host as leaving.
    bool leaving = false;
    /// The models that an engine serves or the routes that a service handles.
    std::vector<std::string> serves;

    /// `address:port` of the target's API.
    [[nodiscard]] std::string http_endpoint() const {
        return address + ":" + std::to_string(http_port);
    }
};

/// The list at one version. It may lag behind the actual state of the hosts.
struct host_list {
    std::uint64_t version = 0;
    std::vector<listed_host> hosts;
};

using host_list_ptr = std::shared_ptr<const host_list>;

std::string to_json(const host_list& list);
/// Reads what to_json() wrote; nothing when the text is malformed.
std::optional<host_list> host_list_from_json(std::string_view text);

/// Fetches the list from the platform over HTTP. Thread-safe.
class host_list_client {
public:
    /// \p url has the form `http://ADDRESS:PORT`. \p drops, which must outlive this object,
    /// simulates network partitions in tests.
    host_list_client(std::string_view url, clock_fn clock, const peer::drop_list& drops);
    /// Blocks until the list is received or a timeout of http::client_options passes. Fails with
    /// error_code::unavailable when the platform does not respond with a valid list.
    result<host_list> fetch();

private:
    const std::string m_endpoint;
    const peer::drop_list& m_drops;
    http::client_pool m_pool;
};

} // namespace eelgrassdoor::platform
