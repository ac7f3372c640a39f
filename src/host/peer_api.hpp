/// \file
/// Defines the calls between daemons: mirrors and jobs.
#pragma once

#include "entry/job_frontend.hpp"
#include "fleet/peer_messenger.hpp"
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
    peer_api(serving::host_context& context, store::mirror& mirrors, jobs::job_runner* runner,
             entry::job_front& job_front)
        : m_context(context), m_mirror(mirrors), m_runner(runner), m_job_front(job_front),
          m_client(context.executor) {}

    net::task<> handle(net::server_exchange& caller);

    /// Fetches a prefix from another daemon that knows a newer revision; from another zone only
    /// when neither the key-value service nor a daemon of the own zone tells it first.
    void pull(const fleet::newer_revision& news);

private:
    net::task<> run_pull(fleet::newer_revision news);
    void take_in(const fleet::newer_revision& news, std::string_view body);
    net::task<> answer_mirror(net::server_exchange& caller);
    /// Answers a call about a job from what runs here, or passes it on for a daemon that cannot
    /// reach those that run jobs.
    net::task<> answer_jobs(net::server_exchange& caller, bool pass_on);

    serving::host_context& m_context;
    store::mirror& m_mirror;
    jobs::job_runner* m_runner;
    entry::job_front& m_job_front;
    net::http_client m_client;
    std::set<std::string> m_pulling;
};

} // namespace eelgrassdoor::host
