/// \file
/// Defines how a front answers callers' calls about jobs.
#pragma once

#include "jobs/job_call.hpp"
#include "jobs/job_repository.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "serving/host_context.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelgrassdoor::entry {

using namespace serving;

/// Passes calls about jobs to the daemons that run them. When none can be reached, reads and ends
/// go to the key-value service, which has the truth.
class job_front {
public:
    job_front(host_context& context, jobs::job_repository& repository)
        : m_context(context), m_repository(repository), m_client(context.executor) {}

    /// Takes a job in.
    net::task<> submit(net::server_exchange& caller, caller_request request,
                       const config::serving_route& route, std::string customer);
    /// Answers a read or an end.
    net::task<> handle(net::server_exchange& caller, caller_call call, std::string customer);

private:
    net::task<> read(net::server_exchange& caller, job_read call, std::string customer);
    net::task<> read_item(net::server_exchange& caller, item_read call, std::string customer);
    net::task<> end(net::server_exchange& caller, job_end call, std::string customer);

    /// Asks the daemons that run jobs, the likeliest owner first, until one knows.
    net::task<jobs::job_reply> ask(jobs::job_call call, duration timeout);
    net::task<jobs::job_reply> ask_one(const std::string& endpoint, const jobs::job_call& call,
                                       duration timeout);
    /// Asks, and reads the store when no daemon is sure.
    net::task<jobs::job_reply> ask_or_read(jobs::job_call call, duration timeout);
    net::task<jobs::job_reply> read_from_store(jobs::job_call call);
    net::task<> answer_error(net::server_exchange& caller, const std::string& job, error why);
    [[nodiscard]] std::vector<std::string> endpoints(std::string_view job) const;

    host_context& m_context;
    jobs::job_repository& m_repository;
    net::http_client m_client;
    /// Owners that differ from the first choice, by job.
    std::map<std::string, std::string, std::less<>> m_owners;
};

} // namespace eelgrassdoor::entry
