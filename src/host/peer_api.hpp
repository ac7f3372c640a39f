/// \file
/// Defines the API between daemons: snapshots of mirrors, calls about jobs and relayed requests.
#pragma once

#include "entry/job_frontend.hpp"
#include "fleet/transfer_limit.hpp"
#include "host/snapshot_cache.hpp"
#include "host/snapshot_puller.hpp"
#include "jobs/job_runner.hpp"
#include "net/http_server.hpp"
#include "serving/target_relay.hpp"
#include "store/mirror.hpp"

namespace eelgrassdoor::host {

/// Serves requests on the peer port and fetches snapshots from other daemons. Runs on the event
/// loop's thread.
class peer_api {
public:
    /// \p runner is null on daemons that run no jobs. All references must outlive this object.
    peer_api(serving::service_context& context, store::mirror& mirrors, jobs::job_runner* runner,
             entry::job_frontend& job_frontend, serving::target_relay& relay);

    /// Handles one request of another daemon, which it may have to relay to a target. Responds with
    /// status 404 to an unknown path, and to a job call when this daemon runs no jobs, and with 400
    /// to a malformed job call.
    net::task<> handle(net::server_exchange& exchange);

    /// Fetches a newer revision of a prefix; see snapshot_puller::pull().
    void pull(const fleet::newer_revision& newer) { m_puller.pull(newer); }

private:
    /// Sends a snapshot, unless it lacks the revision asked for or enough others are being sent.
    net::task<> handle_mirror(net::server_exchange& exchange);
    /// Executes a call about a job on the local runner or, with \p forward, through the frontend on
    /// behalf of a daemon that cannot reach any runner.
    net::task<> handle_job_call(net::server_exchange& exchange, bool forward);
    /// Returns the encoded reply to \p call, whose memory \p exchange reserves.
    net::task<std::string> execute_job_call(net::server_exchange& exchange, jobs::job_call call,
                                            bool forward);

    store::mirror& m_mirror;
    jobs::job_runner* m_runner;
    entry::job_frontend& m_job_frontend;
    serving::target_relay& m_relay;
    snapshot_puller m_puller;
    snapshot_cache m_snapshots;
    fleet::transfer_limit m_transfers;
};

} // namespace eelgrassdoor::host
