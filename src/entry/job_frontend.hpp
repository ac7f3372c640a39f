/// \file
/// Defines how a frontend handles callers' requests about batch jobs.
#pragma once

#include "base/bounded_map.hpp"
#include "jobs/job_call.hpp"
#include "jobs/job_repository.hpp"
#include "jobs/owner_cache.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "serving/service_context.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelgrassdoor::entry {

using namespace serving;

/// The source of a job call.
enum class call_origin {
    from_caller,
    /// From a daemon that cannot reach any job runner; not forwarded a second time.
    forwarded,
};

/// Forwards calls about jobs to the daemons that run them. When none of them can be reached, reads
/// and cancellations use the key-value service, which is authoritative. Runs on the event loop's
/// thread; the context and the repository must outlive it.
class job_frontend {
public:
    /// \p connection has the options of the connections to other daemons.
    job_frontend(service_context& context, jobs::job_repository& repository,
                 net::http_client_options connection)
        : m_context(context), m_repository(repository),
          m_client(context.executor, std::move(connection)) {}

    /// Submits a job and responds with status 202 once a daemon has committed it. An outcome that
    /// is unknown is reported as such, so that the caller can repeat the request with the same id.
    net::task<> submit(net::server_exchange& exchange, caller_request request,
                       const config::serving_route& route, std::string customer);
    /// Executes a read of results or of an item, or a cancellation, and responds to it. Does
    /// nothing for a plain caller_request.
    net::task<> handle(net::server_exchange& exchange, decoded_request request,
                       std::string customer);

    /// Executes a call on a daemon that runs jobs, through another frontend that reaches one, or
    /// on the store. Failures are reported in the status of the reply. \p exchange reserves memory
    /// for the reply before it is read; when there is none, a read is not executed, see
    /// server_exchange::lacks_memory().
    /// \p reply_by limits the wait for the daemons that are called.
    net::task<jobs::job_reply> execute(jobs::job_call call, call_origin origin,
                                       net::server_exchange& exchange,
                                       time_point reply_by = time_point::max());

private:
    /// A daemon to send a call to.
    struct call_destination {
        std::string endpoint;
        /// Whether the daemon is a frontend that forwards the call to a runner.
        bool forwards = false;
    };

    net::task<> read(net::server_exchange& exchange, job_read request, std::string customer);
    net::task<> read_item(net::server_exchange& exchange, item_read request, std::string customer);
    net::task<> cancel(net::server_exchange& exchange, job_cancellation request,
                       std::string customer);

    /// Calls the destinations one after the other until one gives a definite reply. The status is
    /// unknown when a daemon that did not reply may have executed the call. Another daemon's
    /// refusal to do so does not change that; only its acceptance does.
    net::task<jobs::job_reply> call_runners(jobs::job_call call, call_origin origin,
                                            net::server_exchange& exchange, time_point reply_by);
    net::task<jobs::job_reply> call_daemon(const call_destination& destination,
                                           const jobs::job_call& call,
                                           net::server_exchange& exchange, time_point reply_by);
    /// Calls the owner that another daemon's redirect named, and caches it as the job's owner.
    net::task<jobs::job_reply> call_owner(const std::string& endpoint, jobs::job_call call,
                                          net::server_exchange& exchange, time_point reply_by);
    net::task<jobs::job_reply> read_from_store(jobs::job_call call, net::server_exchange& exchange);
    net::task<jobs::job_reply> cancel_in_store(jobs::job_call call);
    /// Responds to a call about an existing job with \p success_response, or with the error for
    /// any other \p status than ok.
    net::task<> respond_to_call(net::server_exchange& exchange, const std::string& job,
                                jobs::reply_status status, net::http_response success_response);
    net::task<> respond_with_error(net::server_exchange& exchange, const std::string& job,
                                   error why);
    /// Peer endpoints of the daemons that run jobs: the cached owner of \p job first, then by
    /// rendezvous weight.
    [[nodiscard]] std::vector<std::string> runner_endpoints(std::string_view job) const;
    /// Peer endpoints of frontends whose datagrams arrive directly and that reach the store, which
    /// makes it likely that they reach the runners; by rendezvous weight.
    [[nodiscard]] std::vector<std::string> reachable_frontends(std::string_view job) const;
    /// The daemons to call, in this order: reachable runners, forwarding frontends, unreachable
    /// runners.
    [[nodiscard]] std::vector<call_destination> destinations(std::string_view job,
                                                             call_origin origin) const;

    service_context& m_context;
    jobs::job_repository& m_repository;
    net::http_client m_client;
    /// Owners learned from redirects, by job id.
    bounded_map<std::string> m_owners{jobs::owner_cache::max_jobs};
};

} // namespace eelgrassdoor::entry
