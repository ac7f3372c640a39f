/// \file
/// Defines the HTTP interface of operators.
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

/// What the administration API works with.
struct admin_api_parts {
    service::runtime& shared;
    platform::config_repository& repository;
    service::document_service& documents;
    service::member_service& members;
    service::target_service& targets;
};

/// Serves operators. Every call needs the operator key. Thread-safe.
class admin_api {
public:
    explicit admin_api(admin_api_parts parts) : m_parts(parts) {}

    void add_routes(httplib::Server& server);

private:
    using handler = std::function<result<std::string>(const httplib::Request&)>;

    /// Checks the operator key, runs \p serve and writes its JSON answer or its error.
    std::function<void(const httplib::Request&, httplib::Response&)> guarded(handler serve) const;

    result<std::string> check_sheet(const httplib::Request& in) const;
    result<std::string> apply_sheet(const httplib::Request& in);
    result<std::string> get_sheet(const httplib::Request& in) const;
    result<std::string> add_key(const httplib::Request& in);
    result<std::string> withdraw_key(const httplib::Request& in);
    result<std::string> list_keys(const httplib::Request& in) const;
    result<std::string> config_status(const httplib::Request& in) const;
    result<std::string> fleet_status(const httplib::Request& in) const;
    /// Puts a change in force here and records who made it.
    void note_change(const config::document_ptr& doc, observe::event what, std::string_view subject,
                     std::uint64_t from_version);

    admin_api_parts m_parts;
};

} // namespace eelgrassdoor::front
