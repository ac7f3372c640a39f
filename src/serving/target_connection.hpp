/// \file
/// Defines how connections to targets are opened.
#pragma once

#include "net/http_client.hpp"
#include "serving/service_context.hpp"

#include <memory>
#include <string>

namespace eelgrassdoor::serving {

/// Connects to the target at \p endpoint (`IP:PORT`) until \p deadline. Fails like
/// net::http_client::connect(), always with run_state::not_run.
net::task<result<std::shared_ptr<net::tcp_connection>>>
connect_to_target(service_context& context, std::string endpoint, time_point deadline);

} // namespace eelgrassdoor::serving
