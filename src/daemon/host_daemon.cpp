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

/// Returns the wall-clock time. Incarnations must increase with every start of a host; those of
/// different hosts are never compared.
std::uint64_t new_incarnation() {
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

error too_many_connections() {
    return {error_code::overloaded, "too many connections to this host", run_state::not_run,
            seconds(1)};
}

/// Answers a request that was refused before it had arrived as a whole.
void write_refusal(httplib::Response& out, http::refusal reason) {
    const auto respond = [&out](int status, error_code code, const char* message,
                                duration retry_after = {}) {
        front::write_error(out, {code, message, run_state::not_run, retry_after}, {});
        out.status = status;
        out.set_header("Connection", "close");
    };
    switch (reason) {
    case http::refusal::none:
        return;
    case http::refusal::malformed:
        return respond(400, error_code::invalid_request, "the chunks of the body are malformed");
    case http::refusal::head_too_large:
        return respond(431, error_code::too_large, "the head of the request is too large");
    case http::refusal::too_large:
        return respond(413, error_code::too_large, "the body is too large");
    case http::refusal::encoded:
        return respond(415, error_code::invalid_request, "encoded bodies are not accepted");
    case http::refusal::too_slow:
        return respond(408, error_code::invalid_request, "the request arrives too slowly");
    case http::refusal::crowded:
        return respond(503, error_code::overloaded, "too many requests are arriving at this host",
                       seconds(1));
    }
}

} // namespace

/// The services and their dependencies, in the order of construction: a member may refer only to
/// members declared before it.
struct host_daemon::components {
    explicit components(settings::daemon_settings s)
        : settings(std::move(s)), incarnation(new_incarnation()), clock(steady_clock()),
          events({settings.host, settings.availability_zone, incarnation, settings.timeline_path}),
          drop_list(settings.drop_list_path),
          intake(std::make_shared<http::request_intake>(
              static_cast<std::size_t>(settings.body_memory_mib) << 20U, clock)),
          transport({settings.address, settings.peer_port, intake},
                    std::make_shared<peer::frame_authenticator>(settings.peer_secret, settings.host,
                                                                incarnation),
                    events, metrics, drop_list),
          kv({.url = settings.platform_url,
              .calls_per_second = static_cast<double>(settings.kv_calls_per_second)},
             clock, events, metrics, drop_list),
          workers(max_workers), context{settings,  incarnation, clock, events,        metrics,
                                        drop_list, transport,   kv,    configuration, workers},
          repository(kv), members(context, member_hooks()), documents(context, repository, members),
          limit_slots(context, repository, members, documents),
          limits(context, members, limit_slots), targets(context, members), once(context),
          batch_slots(context, members, targets), local_spool(settings.data_dir),
          copies(context, members, local_spool), jobs(context, copies),
          committer(context, copies, jobs, owned_jobs),
          dispatcher(context, members, targets, batch_slots, owned_jobs),
          job_copies(context, members, documents, copies, jobs, committer, owned_jobs),
          caller_api({context, limits, targets, once}),
          batch_api({context, limits, members, copies, jobs, job_copies}),
          admin_api({context, repository, documents, members, targets}),
          http_server({.address = settings.address,
                       .port = settings.http_port,
                       .max_connections = static_cast<std::size_t>(settings.max_callers),
                       .max_body_bytes = max_caller_body_bytes,
                       .intake = intake,
                       .crowded_body = front::error_json(too_many_connections(), {})}) {
        documents.on_host_list(
            [this](const platform::host_list& list) { targets.set_host_list(list); });
        targets.on_online_load_change(
            [this](const std::string& target) { batch_slots.report_online_load(target); });
        targets.set_batch_stream_counter([this](const std::string& target) {
            return batch_slots.granted_batch_streams(target);
        });
    }

    service::member_service::hooks member_hooks();
    void add_probe_routes();
    void install_handlers();

    const settings::daemon_settings settings;
    const std::uint64_t incarnation;
    const clock_fn clock;
    observe::event_recorder events;
    observe::metrics metrics;
    peer::drop_list drop_list;
    const std::shared_ptr<http::request_intake> intake;
    peer::transport transport;
    platform::kv_client kv;
    config::current_configuration configuration;
    worker_pool workers;
    service::daemon_context context;
    platform::config_repository repository;
    service::member_service members;
    service::document_service documents;
    service::limit_slot_service limit_slots;
    service::limit_service limits;
    service::target_service targets;
    service::idempotency_service once;
    service::batch_slot_service batch_slots;
    spool::spool local_spool;
    service::copy_store copies;
    service::job_store jobs;
    service::job_table owned_jobs;
    service::job_committer committer;
    service::item_dispatcher dispatcher;
    service::job_copy_manager job_copies;
    front::caller_api caller_api;
    front::batch_api batch_api;
    front::admin_api admin_api;
    http::server http_server;
    std::atomic<bool> draining{false};
};

service::member_service::hooks host_daemon::components::member_hooks() {
    return {
        .reports_to_send =
            [this](std::size_t max_count) { return targets.reports_to_send(max_count); },
        .on_report = [this](const peer::target_report& r) { targets.apply_load_report(r); },
        .on_member_record =
            [this](const membership::member_record& record) {
                limit_slots.handle_member_record(record);
            },
        .on_sender_record =
            [this](const membership::member_record& record) {
                documents.handle_sender_record(record);
            },
        .on_change = [](const membership::member_change&) {},
    };
}

void host_daemon::components::add_probe_routes() {
    httplib::Server& server = http_server.raw();
    server.Get("/healthz", [](const httplib::Request&, httplib::Response& out) {
        out.set_content("ok\n", "text/plain");
    });
    server.Get("/readyz", [this](const httplib::Request&, httplib::Response& out) {
        const bool ready = !draining && configuration.version() != 0 && limits.ready();
        out.status = ready ? 200 : 503;
        out.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    server.Get("/metrics", [this](const httplib::Request&, httplib::Response& out) {
        metrics.gauge("connections", static_cast<double>(http_server.connections()));
        metrics.gauge("workers_busy", static_cast<double>(workers.busy()));
        out.set_content(metrics.text(), "text/plain; version=0.0.4");
    });
}

void host_daemon::components::install_handlers() {
    httplib::Server& server = http_server.raw();
    server.set_pre_routing_handler([this](const httplib::Request& in, httplib::Response& out) {
        const bool probe = in.path == "/healthz" || in.path == "/readyz" || in.path == "/metrics" ||
                           in.path.rfind("/admin/", 0) == 0;
        if (probe || !http_server.over_limit()) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        front::write_error(out, too_many_connections(), {});
        return httplib::Server::HandlerResponse::Handled;
    });
    server.set_post_routing_handler([this](const httplib::Request&, httplib::Response& out) {
        // Each idle connection occupies a thread: close it when threads are scarce or the host is
        // draining.
        if (draining || http_server.near_limit()) {
            out.set_header("Connection", "close");
        }
    });
    server.set_exception_handler(
        [](const httplib::Request&, httplib::Response& out, std::exception_ptr) {
            front::write_error(out,
                               {error_code::internal, "internal error while serving the request",
                                run_state::unknown},
                               {});
        });
    server.set_error_handler([](const httplib::Request&, httplib::Response& out) {
        write_refusal(out, http::current_refusal());
        if (out.body.empty()) {
            const error_code code = out.status == 413   ? error_code::too_large
                                    : out.status == 404 ? error_code::not_found
                                                        : error_code::invalid_request;
            const int status = out.status;
            front::write_error(out,
                               {code, "the request is malformed, too large or matches no endpoint",
                                run_state::not_run},
                               {});
            out.status = status;
        }
    });
}

host_daemon::host_daemon(settings::daemon_settings settings)
    : m_components(std::make_unique<components>(std::move(settings))) {}

host_daemon::~host_daemon() = default;

bool host_daemon::start() {
    components& c = *m_components;
    c.drop_list.reload();
    c.install_handlers();
    c.add_probe_routes();
    c.caller_api.add_routes(c.http_server.raw());
    c.batch_api.add_routes(c.http_server.raw());
    c.admin_api.add_routes(c.http_server.raw());
    if (!c.transport.start() || !c.http_server.start()) {
        return false;
    }
    c.members.start();
    c.documents.start();
    c.limit_slots.start();
    c.limits.start();
    c.targets.start();
    c.batch_slots.start();
    c.committer.start();
    c.dispatcher.start();
    c.job_copies.start();
    c.events.emit(observe::event::daemon_started, {});
    return true;
}

void host_daemon::drain() {
    components& c = *m_components;
    c.draining = true;
    c.events.emit(observe::event::drain_started, {});
    c.members.announce_leaving();
    c.job_copies.stop();
    c.job_copies.release_jobs();
    const time_point listen_until = c.clock() + c.settings.drain_time;
    while (c.clock() < listen_until || c.caller_api.in_flight() > 0) {
        std::this_thread::sleep_for(drain_poll_interval);
    }
    c.limit_slots.stop();
    c.limit_slots.release_all();
    c.http_server.stop();
    c.dispatcher.stop();
    c.committer.stop();
    c.batch_slots.stop();
    c.targets.stop();
    c.limits.stop();
    c.documents.stop();
    c.members.stop();
    c.transport.stop();
    c.workers.stop();
    c.events.emit(observe::event::daemon_stopped, {});
}

} // namespace eelgrassdoor
