/// \file
/// Defines the HTTP API for batch jobs.
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

/// The services that the batch API uses. They must outlive it.
struct batch_api_dependencies {
    service::daemon_context& context;
    service::limit_service& limits;
    service::member_service& members;
    service::copy_store& copies;
    service::job_store& jobs;
    service::job_copy_manager& job_copies;
};

/// Serves submission, status, cancellation and results of batch jobs. Thread-safe.
class batch_api {
public:
    explicit batch_api(batch_api_dependencies deps) : m_deps(deps) {}

    /// Registers the endpoints. Call before the server starts; this object must outlive it.
    void add_routes(httplib::Server& server);

private:
    void submit(const httplib::Request& in, httplib::Response& out,
                const httplib::ContentReader& body);
    /// Streams the request body into a new job and returns the job as JSON.
    result<std::string> accept_submission(const httplib::Request& in,
                                          const httplib::ContentReader& body,
                                          const std::string& request_id);
    result<std::string> status(const httplib::Request& in);
    result<std::string> cancel(const httplib::Request& in);
    /// Streams the results of a job as JSON lines.
    void results(const httplib::Request& in, httplib::Response& out);
    /// Returns the record of the job named in the path. Fails with error_code::not_found when the
    /// job belongs to another customer. With \p allow_stale, the record may come from hosts that
    /// store copies of the job while the key-value service is unavailable.
    result<batch::job_record> find_job(const httplib::Request& in, bool allow_stale);
    /// Fails with error_code::unavailable until this host has a configuration.
    result<caller_identity> authenticate_caller(const httplib::Request& in) const;

    batch_api_dependencies m_deps;
};

} // namespace eelgrassdoor::front
