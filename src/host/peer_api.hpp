/// \file
/// Defines the API between daemons: snapshots of mirrors and calls about jobs.
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

/// Serves requests on the peer port and fetches snapshots from other daemons. Runs on the event
/// loop's thread.
class peer_api {
public:
    /// \p runner is null on daemons that run no jobs. All references must outlive this object.
    peer_api(serving::service_context& context, store::mirror& mirrors, jobs::job_runner* runner,
             entry::job_frontend& job_frontend)
        : m_context(context), m_mirror(mirrors), m_runner(runner), m_job_frontend(job_frontend),
          m_client(context.executor) {}

    /// Handles one request of another daemon. Responds with status 404 to an unknown path, and to a
    /// job call when this daemon runs no jobs, and with 400 to a malformed job call.
    net::task<> handle(net::server_exchange& exchange);

    /// Starts fetching a prefix from another daemon that has a newer revision. From another zone it
    /// is fetched only if neither the key-value service nor a daemon of the same zone delivers the
    /// revision first. Does nothing while a fetch of the prefix is in progress.
    void pull(const fleet::newer_revision& newer);

private:
    net::task<> run_pull(fleet::newer_revision newer);
    void apply_response(const fleet::newer_revision& newer, std::string_view body,
                        time_point started);
    void log_pull_failure(const fleet::newer_revision& newer, std::string_view reason,
                          time_point started);
    [[nodiscard]] std::string elapsed_ms(time_point started) const;
    net::task<> handle_mirror(net::server_exchange& exchange);
    /// Executes a call about a job on the local runner or, with \p forward, through the frontend on
    /// behalf of a daemon that cannot reach any runner.
    net::task<> handle_job_call(net::server_exchange& exchange, bool forward);

    serving::service_context& m_context;
    store::mirror& m_mirror;
    jobs::job_runner* m_runner;
    entry::job_frontend& m_job_frontend;
    net::http_client m_client;
    /// Prefixes that are being fetched.
    std::set<std::string> m_pulling;
};

} // namespace eelgrassdoor::host
