#include "daemon/host_daemon.hpp"

#include "front/admin_api.hpp"
#include "front/batch_api.hpp"
#include "front/caller_api.hpp"
#include "front/responses.hpp"
#include "http/server.hpp"
#include "observe/log.hpp"
#include "service/batch_slot_service.hpp"
#include "service/document_service.hpp"
#include "service/idempotency_service.hpp"
#include "service/item_dispatcher.hpp"
#include "service/job_committer.hpp"
#include "service/job_copy_manager.hpp"
#include "service/limit_service.hpp"
#include "service/limit_slot_service.hpp"
#include "service/member_service.hpp"
#include "service/target_service.hpp"

#include <httplib.h>

#include <atomic>
#include <thread>

namespace eelgrassdoor {

namespace {

constexpr std::size_t max_workers = 2048;
constexpr duration drain_poll_interval = milliseconds(20);
constexpr std::size_t max_caller_body_bytes = 64U << 20U;

/// Later starts of a host must get higher incarnations; only one host's are compared.
std::uint64_t new_incarnation() {
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

} // namespace

/// In the order of construction; each part uses only earlier ones.
struct host_daemon::parts {
    explicit parts(settings::daemon_settings s)
        : settings(std::move(s)), incarnation(new_incarnation()), clock(steady_clock()),
          events({settings.host, settings.availability_zone, incarnation, settings.timeline_path}),
          drops(settings.drop_list_path),
          node({settings.address, settings.peer_port},
               std::make_shared<peer::sealer>(settings.peer_secret, settings.host, incarnation),
               events, numbers, drops),
          kv({.url = settings.platform_url,
              .calls_per_second = static_cast<double>(settings.kv_calls_per_second)},
             clock, events, numbers, drops),
          workers(max_workers), shared{settings, incarnation, clock, events,        numbers,
                                       drops,    node,        kv,    configuration, workers},
          repository(kv), members(shared, member_hooks()), documents(shared, repository, members),
          slots(shared, repository, members, documents), limits(shared, members, slots),
          targets(shared, members), once(shared), lanes(shared, members, targets),
          local_spool(settings.data_dir), copies(shared, members, local_spool),
          jobs(shared, copies), committer(shared, copies, jobs, owned),
          dispatcher(shared, members, targets, lanes, owned),
          keeper(shared, members, documents, copies, jobs, committer, owned),
          callers({shared, limits, targets, once}),
          batches({shared, limits, members, copies, jobs, keeper}),
          admin({shared, repository, documents, members, targets}),
          listener({.address = settings.address,
                    .port = settings.http_port,
                    .max_connections = static_cast<std::size_t>(settings.max_callers),
                    .max_body_bytes = max_caller_body_bytes}) {
        documents.on_host_list(
            [this](const platform::host_list& list) { targets.set_host_list(list); });
        targets.on_online([this](const std::string& target) { lanes.note_online(target); });
        targets.on_batch_streams(
            [this](const std::string& target) { return lanes.batch_streams(target); });
    }

    service::member_service::hooks member_hooks();
    void add_probe_routes();
    void add_limits();

    const settings::daemon_settings settings;
    const std::uint64_t incarnation;
    const clock_fn clock;
    observe::observer events;
    observe::metrics numbers;
    peer::drop_list drops;
    peer::node node;
    platform::kv_client kv;
    config::current_configuration configuration;
    worker_pool workers;
    service::runtime shared;
    platform::config_repository repository;
    service::member_service members;
    service::document_service documents;
    service::slot_service slots;
    service::limit_service limits;
    service::target_service targets;
    service::once_service once;
    service::lane_service lanes;
    spool::spool local_spool;
    service::copy_store copies;
    service::job_store jobs;
    service::job_table owned;
    service::job_committer committer;
    service::item_dispatcher dispatcher;
    service::job_keeper keeper;
    front::caller_api callers;
    front::batch_api batches;
    front::admin_api admin;
    http::server listener;
    std::atomic<bool> draining{false};
};

service::member_service::hooks host_daemon::parts::member_hooks() {
    return {
        .reports_to_send = [this](std::size_t most) { return targets.reports_to_send(most); },
        .on_report = [this](const peer::target_report& r) { targets.note_report(r); },
        .on_member = [this](const membership::member_record& heard) { slots.note_member(heard); },
        .on_sender =
            [this](const membership::member_record& heard) { documents.note_member(heard); },
        .on_change = [](const membership::member_change&) {},
    };
}

void host_daemon::parts::add_probe_routes() {
    httplib::Server& server = listener.raw();
    server.Get("/healthz", [](const httplib::Request&, httplib::Response& out) {
        out.set_content("ok\n", "text/plain");
    });
    server.Get("/readyz", [this](const httplib::Request&, httplib::Response& out) {
        const bool ready = !draining && configuration.version() != 0 && limits.ready();
        out.status = ready ? 200 : 503;
        out.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    server.Get("/metrics", [this](const httplib::Request&, httplib::Response& out) {
        numbers.gauge("connections", static_cast<double>(listener.connections()));
        numbers.gauge("workers_busy", static_cast<double>(workers.busy()));
        out.set_content(numbers.text(), "text/plain; version=0.0.4");
    });
}

void host_daemon::parts::add_limits() {
    httplib::Server& server = listener.raw();
    server.set_pre_routing_handler([this](const httplib::Request& in, httplib::Response& out) {
        const bool probe = in.path == "/healthz" || in.path == "/readyz" || in.path == "/metrics" ||
                           in.path.rfind("/admin/", 0) == 0;
        if (probe || !listener.over_limit()) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        front::write_error(out,
                           {error_code::overloaded, "this host has too many callers",
                            run_state::not_run, seconds(1)},
                           {});
        return httplib::Server::HandlerResponse::Handled;
    });
    server.set_post_routing_handler([this](const httplib::Request&, httplib::Response& out) {
        // Idle callers give their thread back when threads are short or the host is leaving.
        if (draining || listener.crowded()) {
            out.set_header("Connection", "close");
        }
    });
    server.set_exception_handler([](const httplib::Request&, httplib::Response& out,
                                    std::exception_ptr) {
        front::write_error(
            out, {error_code::internal, "the request failed inside this host", run_state::unknown},
            {});
    });
    server.set_error_handler([](const httplib::Request&, httplib::Response& out) {
        if (out.body.empty()) {
            const error_code code = out.status == 413   ? error_code::too_large
                                    : out.status == 404 ? error_code::not_found
                                                        : error_code::invalid_request;
            const int status = out.status;
            front::write_error(out, {code, "the request cannot be read", run_state::not_run}, {});
            out.status = status;
        }
    });
}

host_daemon::host_daemon(settings::daemon_settings settings)
    : m_parts(std::make_unique<parts>(std::move(settings))) {}

host_daemon::~host_daemon() = default;

bool host_daemon::start() {
    parts& p = *m_parts;
    p.drops.reload();
    p.add_limits();
    p.add_probe_routes();
    p.callers.add_routes(p.listener.raw());
    p.batches.add_routes(p.listener.raw());
    p.admin.add_routes(p.listener.raw());
    if (!p.node.start() || !p.listener.start()) {
        return false;
    }
    p.members.start();
    p.documents.start();
    p.slots.start();
    p.limits.start();
    p.targets.start();
    p.lanes.start();
    p.committer.start();
    p.dispatcher.start();
    p.keeper.start();
    p.events.emit(observe::event::daemon_started, {});
    return true;
}

void host_daemon::drain() {
    parts& p = *m_parts;
    p.draining = true;
    p.events.emit(observe::event::drain_started, {});
    p.members.announce_leaving();
    p.keeper.stop();
    p.keeper.give_up();
    const time_point listen_until = p.clock() + p.settings.drain;
    while (p.clock() < listen_until || p.callers.in_flight() > 0) {
        std::this_thread::sleep_for(drain_poll_interval);
    }
    p.slots.stop();
    p.slots.release_all();
    p.listener.stop();
    p.dispatcher.stop();
    p.committer.stop();
    p.lanes.stop();
    p.targets.stop();
    p.limits.stop();
    p.documents.stop();
    p.members.stop();
    p.node.stop();
    p.workers.stop();
    p.events.emit(observe::event::daemon_stopped, {});
}

} // namespace eelgrassdoor
