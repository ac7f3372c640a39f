/// \file
/// Defines the platform's host list: daemons and targets, live and leaving.
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

enum class host_kind { entry, engine, service };

/// One line of the host list.
struct listed_host {
    std::string host;
    std::string availability_zone;
    host_kind kind = host_kind::entry;
    std::string address;
    /// Port for callers (entry hosts) or for the target's API.
    int http_port = 0;
    /// Port between daemons; 0 for targets.
    int peer_port = 0;
    bool leaving = false;
    /// The models that an engine serves or the routes that a service answers.
    std::vector<std::string> serves;

    /// `address:port` of the target's API.
    [[nodiscard]] std::string http_endpoint() const {
        return address + ":" + std::to_string(http_port);
    }
};

/// The list at one version. It lags behind what happens.
struct host_list {
    std::uint64_t version = 0;
    std::vector<listed_host> hosts;
};

using host_list_ptr = std::shared_ptr<const host_list>;

std::string to_json(const host_list& list);
std::optional<host_list> host_list_from_json(std::string_view text);

/// Reads the list from the platform.
class host_list_client {
public:
    host_list_client(std::string_view url, clock_fn clock, const peer::drop_list& drops);
    result<host_list> fetch();

private:
    const std::string m_endpoint;
    const peer::drop_list& m_drops;
    http::client_pool m_pool;
};

} // namespace eelgrassdoor::platform
