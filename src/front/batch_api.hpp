/// \file
/// Defines the HTTP interface of batch jobs.
#pragma once

#include "base/error.hpp"
#include "front/access.hpp"
#include "service/copy_store.hpp"
#include "service/daemon_context.hpp"
#include "service/job_copy_manager.hpp"
#include "service/job_store.hpp"
#include "service/limit_service.hpp"
#include "service/member_service.hpp"

#include <string>

namespace httplib {
class ContentReader;
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace eelgrassdoor::front {

/// What the batch API works with.
struct batch_api_parts {
    service::runtime& shared;
    service::limit_service& limits;
    service::member_service& members;
    service::copy_store& copies;
    service::job_store& jobs;
    service::job_keeper& keeper;
};

/// Serves submissions, status, cancel and results. Thread-safe.
class batch_api {
public:
    explicit batch_api(batch_api_parts parts) : m_parts(parts) {}

    void add_routes(httplib::Server& server);

private:
    void submit(const httplib::Request& in, httplib::Response& out,
                const httplib::ContentReader& body);
    result<std::string> accept(const httplib::Request& in, const httplib::ContentReader& body,
                               const std::string& request_id);
    result<std::string> status(const httplib::Request& in);
    result<std::string> cancel(const httplib::Request& in);
    void results(const httplib::Request& in, httplib::Response& out);
    /// The record of the job in the path, when it belongs to the caller. With \p may_lag it may
    /// come from the hosts with copies while the key-value service is out.
    result<batch::job_record> find_job(const httplib::Request& in, bool may_lag);
    result<caller> who_calls(const httplib::Request& in) const;

    batch_api_parts m_parts;
};

} // namespace eelgrassdoor::front
