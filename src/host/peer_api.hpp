/// \file
/// Defines the calls between daemons: mirrors and jobs.
#pragma once

#include "entry/job_front.hpp"
#include "fleet/link.hpp"
#include "jobs/job_runner.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "store/mirror.hpp"

#include <map>
#include <set>
#include <string>

namespace eelgrassdoor::host {

/// Serves and makes calls on the port between daemons.
class peer_api {
public:
    /// \p runner may be null on daemons that run no jobs.
    peer_api(serving::service_context& context, store::mirror& mirrors, jobs::job_runner* runner,
             entry::job_frontend& job_frontend)
        : m_context(context), m_mirror(mirrors), m_runner(runner), m_job_frontend(job_frontend),
          m_client(context.executor) {}

    net::task<> handle(net::server_exchange& caller);

    /// Fetches a prefix from another daemon that knows a newer revision; from another zone only
    /// when neither the key-value service nor a daemon of the own zone tells it first.
    void pull(const fleet::newer_revision& newer);

private:
    net::task<> run_pull(fleet::newer_revision newer);
    void apply_response(const fleet::newer_revision& newer, std::string_view body);
    net::task<> handle_mirror(net::server_exchange& caller);
    /// Answers a call about a job from what runs here, or passes it on for a daemon that cannot
    /// reach those that run jobs.
    net::task<> handle_job_call(net::server_exchange& caller, bool forward);

    serving::service_context& m_context;
    store::mirror& m_mirror;
    jobs::job_runner* m_runner;
    entry::job_frontend& m_job_frontend;
    net::http_client m_client;
    std::set<std::string> m_pulling;
};

} // namespace eelgrassdoor::host
