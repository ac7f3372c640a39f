/// \file
/// Defines the HTTP API for operators.
#pragma once

#include "base/error.hpp"
#include "platform/config_repository.hpp"
#include "service/daemon_context.hpp"
#include "service/document_service.hpp"
#include "service/member_service.hpp"
#include "service/target_service.hpp"

#include <functional>
#include <string>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace eelgrassdoor::front {

/// The services that the admin API uses. They must outlive it.
struct admin_api_dependencies {
    service::daemon_context& context;
    platform::config_repository& repository;
    service::document_service& documents;
    service::member_service& members;
    service::target_service& targets;
};

/// Serves the endpoints under `/admin/v1/`. Every call requires the operator key. Thread-safe.
class admin_api {
public:
    explicit admin_api(admin_api_dependencies deps) : m_deps(deps) {}

    /// Registers the endpoints. Call before the server starts; this object must outlive it.
    void add_routes(httplib::Server& server);

private:
    /// Returns the JSON body of a 200 response.
    using handler = std::function<result<std::string>(const httplib::Request&)>;

    /// Wraps \p serve: checks the operator key, then writes the JSON body or the error.
    std::function<void(const httplib::Request&, httplib::Response&)>
    require_operator_key(handler serve) const;

    /// Validates a sheet and returns its findings, or its diff against the active sheet.
    result<std::string> check_sheet(const httplib::Request& in) const;
    /// Stores a new sheet when the active version is still the one that it is based on.
    result<std::string> apply_sheet(const httplib::Request& in);
    result<std::string> get_sheet(const httplib::Request& in) const;
    /// Creates an API key. The response is the only place where the raw key appears.
    result<std::string> add_key(const httplib::Request& in);
    result<std::string> withdraw_key(const httplib::Request& in);
    result<std::string> list_keys(const httplib::Request& in) const;
    /// Returns the configuration version and liveness of every known host.
    result<std::string> config_status(const httplib::Request& in) const;
    /// Returns config_status() with the targets, the customers and the reachability of the
    /// platform.
    result<std::string> fleet_status(const httplib::Request& in) const;
    /// Activates \p doc on this host and emits \p change_event with its author.
    void publish_change(const config::document_ptr& doc, observe::event change_event,
                        std::string_view subject, std::uint64_t from_version);

    admin_api_dependencies m_deps;
};

} // namespace eelgrassdoor::front
