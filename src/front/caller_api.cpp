#include "front/caller_api.hpp"

#include "base/random_source.hpp"
#include "base/text.hpp"
#include "front/event_relay.hpp"
#include "front/responses.hpp"
#include "serving/completion_check.hpp"
#include "target/response_check.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace eelgrassdoor::front {

namespace {

using nlohmann::json;

constexpr int request_id_bytes = 8;
constexpr std::size_t max_answer_bytes = 8U << 20U;
constexpr duration first_token_timeout = seconds(10);
constexpr duration max_time_between_bytes = seconds(10);
/// A request waits at most this part of its timeout for a place.
constexpr double max_wait_share = 0.5;
constexpr std::string_view open_customer = "(open)";

error bad_request(std::string message) {
    return {error_code::invalid_request, std::move(message), run_state::not_run};
}

/// The text that decides which prefix cache helps.
std::string prompt_of(const json& body) {
    if (body.contains("prompt") && body["prompt"].is_string()) {
        return body["prompt"];
    }
    std::string prompt;
    if (body.contains("messages") && body["messages"].is_array()) {
        for (const json& message : body["messages"]) {
            if (message.is_object() && message.contains("content") &&
                message["content"].is_string()) {
                str_append(prompt, message["content"].get<std::string>(), "\n");
            }
        }
    }
    return prompt;
}

/// Whether the caller's key stands somewhere that goes to the target.
bool holds_key(const httplib::Request& in, std::string_view key) {
    return !key.empty() && (contains(in.target, key) || contains(in.body, key));
}

/// Counts a request while it is served, also while its answer is streamed.
class in_flight_guard {
public:
    explicit in_flight_guard(std::shared_ptr<std::atomic<int>> count) : m_count(std::move(count)) {
        ++*m_count;
    }
    ~in_flight_guard() { --*m_count; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

private:
    std::shared_ptr<std::atomic<int>> m_count;
};

} // namespace

struct caller_api::call {
    call(const httplib::Request& request, httplib::Response& response,
         std::shared_ptr<std::atomic<int>> count, time_point now)
        : in(request), out(response), id(str_cat("req-", secure_hex(request_id_bytes))),
          raw_key(bearer_key(request)), began(now),
          counted(std::make_shared<in_flight_guard>(std::move(count))) {}

    const httplib::Request& in;
    httplib::Response& out;
    const std::string id;
    const std::string raw_key;
    const time_point began;
    const std::shared_ptr<in_flight_guard> counted;
    config::route route;
    caller who;
    json body;
};

caller_api::caller_api(caller_api_parts parts)
    : m_parts(parts), m_forwarder(parts.shared, parts.targets),
      m_in_flight(std::make_shared<std::atomic<int>>(0)) {}

void caller_api::add_routes(httplib::Server& server) {
    const auto completion = [this](const httplib::Request& in, httplib::Response& out) {
        serve_completion(in, out);
    };
    const auto service = [this](const httplib::Request& in, httplib::Response& out) {
        serve_service(in, out);
    };
    server.Post(std::string(serving::chat_path), completion);
    server.Post("/v1/completions", completion);
    server.Get("/v1/models", [this](const httplib::Request& in, httplib::Response& out) {
        serve_models(in, out);
    });
    const std::string pattern = R"(/r/([^/]+)(/.*)?)";
    server.Get(pattern, service);
    server.Post(pattern, service);
    server.Put(pattern, service);
    server.Patch(pattern, service);
    server.Delete(pattern, service);
}

result<void> caller_api::admit(call& c, std::string_view route_name) {
    const config::document_ptr doc = m_parts.shared.configuration.get();
    if (doc == nullptr) {
        return error{error_code::unavailable, "no configuration is in force yet",
                     run_state::not_run, seconds(2)};
    }
    const auto found = doc->parsed.routes.find(route_name);
    if (found == doc->parsed.routes.end()) {
        return error{error_code::not_found, str_cat("route \"", route_name, "\" does not exist"),
                     run_state::not_run};
    }
    c.route = found->second;
    BOOST_OUTCOME_TRY(who, identify(*doc, c.route, c.raw_key));
    c.who = who;
    if (holds_key(c.in, c.raw_key)) {
        return bad_request("the caller's key must stand in the Authorization header only");
    }
    if (!c.who.customer.empty()) {
        return m_parts.limits.admit(c.who.customer, c.id);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

forward_request caller_api::make_request(const call& c, std::string serves) const {
    forward_request request;
    request.request_id = c.id;
    request.wanted.serves = std::move(serves);
    request.wanted.customer = c.who.customer.empty() ? std::string(open_customer) : c.who.customer;
    request.wanted.weight = c.who.weight;
    request.idempotent = c.route.idempotent;
    request.deadline = c.began + c.route.timeout;
    request.wanted.deadline = c.began + from_seconds(max_wait_share * to_seconds(c.route.timeout));
    request.first_byte_timeout = c.route.timeout;
    request.to_send.body = c.in.body;
    const std::string content_type = c.in.get_header_value("Content-Type");
    request.to_send.headers.emplace_back("Content-Type",
                                         content_type.empty() ? "application/json" : content_type);
    return request;
}

void caller_api::serve_completion(const httplib::Request& in, httplib::Response& out) {
    call c(in, out, m_in_flight, m_parts.shared.clock());
    m_parts.shared.events.emit(observe::event::request_received, c.id);
    m_parts.shared.numbers.count("requests_total");
    const auto run = [&]() -> result<void> {
        c.body = json::parse(in.body, nullptr, false);
        BOOST_OUTCOME_TRY(serving::check_completion(c.body, in.path == serving::chat_path));
        BOOST_OUTCOME_TRY(admit(c, c.body["model"].get<std::string>()));
        if (c.route.kind != config::route_kind::model) {
            return bad_request(str_cat("route \"", c.route.name, "\" is not a model"));
        }
        return run_model(c);
    };
    if (const result<void> outcome = run(); !outcome) {
        m_parts.shared.events.emit(observe::event::request_refused, c.id,
                                   {{"reason", outcome.error().message}});
        m_parts.shared.numbers.count(
            str_cat("requests_refused_total{code=\"", to_string(outcome.error().code), "\"}"));
        write_error(out, outcome.error(), c.id);
    }
    out.set_header("X-Request-Id", c.id);
}

result<void> caller_api::run_model(call& c) {
    forward_request request = make_request(c, c.route.model);
    c.body["model"] = c.route.model;
    request.wanted.prefix_hash = routing::prefix_hash(prompt_of(c.body));
    request.to_send.path = c.in.path;
    request.to_send.body = c.body.dump(-1, ' ', false, json::error_handler_t::replace);
    const bool wants_stream =
        c.body.contains("stream") && c.body["stream"].is_boolean() && c.body["stream"].get<bool>();
    if (!wants_stream) {
        if (request.idempotent) {
            // Leaves time for another target when this one stays silent.
            request.first_byte_timeout = c.route.timeout / 2;
        }
        return send_once(c, std::move(request));
    }
    request.first_byte_timeout = std::min(first_token_timeout, c.route.timeout);
    const auto relay = std::make_shared<event_relay>(
        c.id,
        [this, who = c.who] { return still_allowed(*m_parts.shared.configuration.get(), who); },
        m_parts.shared.clock);
    BOOST_OUTCOME_TRY(answer, m_forwarder.forward(std::move(request), [&](forwarded& f) {
        return f.head.status == 200 ? relay->read_first(f)
                                    : result<void>(BOOST_OUTCOME_V2_NAMESPACE::success());
    }));
    if (answer.head.status != 200) {
        BOOST_OUTCOME_TRY(text, answer.answer->read_all(max_time_between_bytes, max_answer_bytes));
        c.out.status = answer.head.status;
        c.out.set_content(text, "application/json");
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    const auto shared_answer = std::make_shared<forwarded>(std::move(answer));
    m_parts.shared.numbers.observe("first_token_seconds",
                                   to_seconds(m_parts.shared.clock() - c.began));
    c.out.set_chunked_content_provider(
        "text/event-stream", [this, relay, shared_answer, id = c.id,
                              counted = c.counted](std::size_t, httplib::DataSink& sink) {
            const result<void> ended = relay->run(*shared_answer, [&sink](std::string_view bytes) {
                return sink.write(bytes.data(), bytes.size());
            });
            if (!ended && ended.error().code == error_code::unauthorized) {
                m_parts.shared.events.emit(observe::event::stream_ended_by_key, id);
            }
            m_parts.shared.events.emit(observe::event::request_finished, id,
                                       {{"ended", ended ? "complete" : ended.error().message}});
            sink.done();
            return true;
        });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void caller_api::serve_service(const httplib::Request& in, httplib::Response& out) {
    call c(in, out, m_in_flight, m_parts.shared.clock());
    m_parts.shared.events.emit(observe::event::request_received, c.id);
    m_parts.shared.numbers.count("requests_total");
    const auto run = [&]() -> result<void> {
        BOOST_OUTCOME_TRY(admit(c, in.matches[1].str()));
        if (c.route.kind != config::route_kind::service) {
            return bad_request(str_cat("route \"", c.route.name, "\" is not a service"));
        }
        return run_service(c);
    };
    if (const result<void> outcome = run(); !outcome) {
        m_parts.shared.events.emit(observe::event::request_refused, c.id,
                                   {{"reason", outcome.error().message}});
        write_error(out, outcome.error(), c.id);
    }
    out.set_header("X-Request-Id", c.id);
}

result<void> caller_api::run_service(call& c) {
    forward_request request = make_request(c, c.route.name);
    request.wanted.may_exceed_slots = true;
    request.to_send.method = c.in.method;
    const std::string path = c.in.matches[2].str();
    request.to_send.path = path.empty() ? "/" : path;
    const std::size_t query = c.in.target.find('?');
    if (query != std::string::npos) {
        request.to_send.path += c.in.target.substr(query);
    }
    if (request.idempotent) {
        request.first_byte_timeout = c.route.timeout / 2;
    }
    return send_once(c, std::move(request));
}

result<void> caller_api::send_once(call& c, forward_request request) {
    const std::string idempotency_key = c.in.get_header_value("Idempotency-Key");
    if (c.route.idempotent || idempotency_key.empty()) {
        return send(c, std::move(request), nullptr);
    }
    const std::string what =
        str_cat(request.to_send.method, " ", request.to_send.path, "\n", c.in.body);
    BOOST_OUTCOME_TRY(begun, m_parts.once.begin({.customer = c.who.customer,
                                                 .route = c.route.name,
                                                 .idempotency_key = idempotency_key,
                                                 .request = what,
                                                 .may_run_for = c.route.timeout}));
    if (const auto* earlier = std::get_if<service::stored_answer>(&begun)) {
        m_parts.shared.events.emit(observe::event::claim_replayed, c.id);
        c.out.status = earlier->status;
        c.out.set_content(earlier->body, earlier->content_type);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    const auto& claim = std::get<service::call_claim>(begun);
    m_parts.shared.events.emit(observe::event::claim_created, c.id);
    service::stored_answer copy;
    const result<void> outcome = send(c, std::move(request), &copy);
    if (outcome) {
        m_parts.once.finish(claim, copy);
    } else if (outcome.error().run == run_state::not_run) {
        m_parts.once.abandon(claim);
    }
    return outcome;
}

result<void> caller_api::send(call& c, forward_request request, service::stored_answer* copy) {
    std::string text;
    const bool from_engine = c.route.kind == config::route_kind::model;
    BOOST_OUTCOME_TRY(
        answer, m_forwarder.forward(std::move(request), [&](forwarded& f) -> result<void> {
            BOOST_OUTCOME_TRY(whole, f.answer->read_all(max_time_between_bytes, max_answer_bytes));
            text = std::move(whole);
            if (from_engine && f.head.status == 200 &&
                !target::answer_belongs(text, f.attempt_id)) {
                return error{error_code::target_failed, "the target answered another request",
                             run_state::unknown};
            }
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        }));
    const std::string content_type(answer.head.header("Content-Type"));
    c.out.status = answer.head.status;
    c.out.set_content(text, content_type.empty() ? "application/octet-stream" : content_type);
    if (copy != nullptr) {
        *copy = {answer.head.status, content_type, text};
    }
    m_parts.shared.events.emit(observe::event::request_finished, c.id,
                               {{"status", std::to_string(answer.head.status)}});
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void caller_api::serve_models(const httplib::Request& in, httplib::Response& out) {
    const config::document_ptr doc = m_parts.shared.configuration.get();
    if (doc == nullptr) {
        write_error(out,
                    {error_code::unavailable, "no configuration is in force yet",
                     run_state::not_run, seconds(2)},
                    {});
        return;
    }
    const result<caller> who = identify(*doc, bearer_key(in));
    json list = json::array();
    for (const auto& [name, route] : doc->parsed.routes) {
        const bool visible = who || route.access == config::route_access::open;
        if (visible && route.kind == config::route_kind::model) {
            list.push_back({{"id", name}, {"object", "model"}, {"owned_by", "eelgrassdoor"}});
        }
    }
    out.set_content(json{{"object", "list"}, {"data", list}}.dump(), "application/json");
}

} // namespace eelgrassdoor::front
