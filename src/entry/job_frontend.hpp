/// \file
/// Defines how a front answers callers' calls about jobs.
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

/// How a call came to this daemon.
enum class call_path {
    from_caller,
    /// From a daemon that cannot reach those that run jobs; it is not passed on again.
    passed_on,
};

/// Passes calls about jobs to the daemons that run them. When none can be reached, reads and ends
/// go to the key-value service, which has the truth.
class job_front {
public:
    job_front(host_context& context, jobs::job_repository& repository,
              net::http_client_options connection)
        : m_context(context), m_repository(repository),
          m_client(context.executor, std::move(connection)) {}

    /// Takes a job in.
    net::task<> submit(net::server_exchange& caller, caller_request request,
                       const config::serving_route& route, std::string customer);
    /// Answers a read or an end.
    net::task<> handle(net::server_exchange& caller, caller_call call, std::string customer);

    /// Answers a call: by a daemon that runs jobs, by another front that reaches them, or by what
    /// the store has.
    net::task<jobs::job_reply> answer(jobs::job_call call, call_path how);

private:
    /// A daemon that may answer a call.
    struct helper {
        std::string endpoint;
        /// Whether it has to pass the call on.
        bool passes_on = false;
    };

    net::task<> read(net::server_exchange& caller, job_read call, std::string customer);
    net::task<> read_item(net::server_exchange& caller, item_read call, std::string customer);
    net::task<> end(net::server_exchange& caller, job_end call, std::string customer);

    /// Asks one daemon after the other until one knows.
    net::task<jobs::job_reply> ask(jobs::job_call call, call_path how);
    net::task<jobs::job_reply> ask_one(const helper& whom, const jobs::job_call& call);
    /// Asks the owner that another daemon has named.
    net::task<jobs::job_reply> ask_owner(const std::string& endpoint, jobs::job_call call);
    net::task<jobs::job_reply> read_from_store(jobs::job_call call);
    net::task<jobs::job_reply> end_in_store(jobs::job_call call);
    /// Answers a call about an existing job: \p when_ok, or why it failed.
    net::task<> answer_call(net::server_exchange& caller, const std::string& job,
                            jobs::reply_status status, net::http_response when_ok);
    net::task<> answer_error(net::server_exchange& caller, const std::string& job, error why);
    /// The daemons that run jobs, the likeliest owner of \p job first.
    [[nodiscard]] std::vector<std::string> runners(std::string_view job) const;
    /// Fronts that are heard and reach the store: they are likely to reach the runners.
    [[nodiscard]] std::vector<std::string> fronts_in_touch(std::string_view job) const;
    /// Whom to ask, in this order.
    [[nodiscard]] std::vector<helper> helpers(std::string_view job, call_path how) const;

    host_context& m_context;
    jobs::job_repository& m_repository;
    net::http_client m_client;
    /// Owners that differ from the first choice, by job.
    bounded_map<std::string> m_owners{jobs::owner_memory::max_jobs};
};

} // namespace eelgrassdoor::entry
