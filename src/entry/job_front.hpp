/// \file
/// Defines how a front answers callers' calls about jobs.
#pragma once

#include "base/bounded_map.hpp"
#include "jobs/job_call.hpp"
#include "jobs/job_repository.hpp"
#include "jobs/owner_memory.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "serving/service_context.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelgrassdoor::entry {

using namespace serving;

/// How a call came to this daemon.
enum class call_origin {
    from_caller,
    /// From a daemon that cannot reach those that run jobs; it is not passed on again.
    forwarded,
};

/// Passes calls about jobs to the daemons that run them. When none can be reached, reads and ends
/// go to the key-value service, which has the truth.
class job_frontend {
public:
    job_frontend(service_context& context, jobs::job_repository& repository,
                 net::http_client_options connection)
        : m_context(context), m_repository(repository),
          m_client(context.executor, std::move(connection)) {}

    /// Takes a job in.
    net::task<> submit(net::server_exchange& caller, caller_request request,
                       const config::serving_route& route, std::string customer);
    /// Answers a read or an end.
    net::task<> handle(net::server_exchange& caller, decoded_request call, std::string customer);

    /// Answers a call: by a daemon that runs jobs, by another front that reaches them, or by what
    /// the store has.
    net::task<jobs::job_reply> execute(jobs::job_call call, call_origin origin);

private:
    /// A daemon that may answer a call.
    struct call_destination {
        std::string endpoint;
        /// Whether it has to pass the call on.
        bool forwards = false;
    };

    net::task<> read(net::server_exchange& caller, job_read call, std::string customer);
    net::task<> read_item(net::server_exchange& caller, item_read call, std::string customer);
    net::task<> cancel(net::server_exchange& caller, job_cancellation call, std::string customer);

    /// Asks one daemon after the other until one knows.
    net::task<jobs::job_reply> call_runners(jobs::job_call call, call_origin origin);
    net::task<jobs::job_reply> call_daemon(const call_destination& destination,
                                           const jobs::job_call& call);
    /// Asks the owner that another daemon has named.
    net::task<jobs::job_reply> call_owner(const std::string& endpoint, jobs::job_call call);
    net::task<jobs::job_reply> read_from_store(jobs::job_call call);
    net::task<jobs::job_reply> cancel_in_store(jobs::job_call call);
    /// Answers a call about an existing job: \p success_response, or why it failed.
    net::task<> respond_to_call(net::server_exchange& caller, const std::string& job,
                                jobs::reply_status status, net::http_response success_response);
    net::task<> respond_with_error(net::server_exchange& caller, const std::string& job, error why);
    /// The daemons that run jobs, the likeliest owner of \p job first.
    [[nodiscard]] std::vector<std::string> runner_endpoints(std::string_view job) const;
    /// Fronts that are heard and reach the store: they are likely to reach the runners.
    [[nodiscard]] std::vector<std::string> reachable_frontends(std::string_view job) const;
    /// Whom to ask, in this order.
    [[nodiscard]] std::vector<call_destination> destinations(std::string_view job,
                                                             call_origin origin) const;

    service_context& m_context;
    jobs::job_repository& m_repository;
    net::http_client m_client;
    /// Owners that differ from the first choice, by job.
    bounded_map<std::string> m_owners{jobs::owner_memory::max_jobs};
};

} // namespace eelgrassdoor::entry
