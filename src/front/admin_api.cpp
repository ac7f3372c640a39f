#include "front/admin_api.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"
#include "config/sheet_parser.hpp"
#include "front/responses.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace eelgrassdoor::front {

namespace {

using nlohmann::json;

std::string operator_name(const httplib::Request& in) {
    const std::string name = in.get_header_value("X-Operator");
    return name.empty() ? "operator" : name;
}

std::string_view status_name(membership::member_status status) {
    switch (status) {
    case membership::member_status::live:
        return "live";
    case membership::member_status::suspected:
        return "not heard from";
    case membership::member_status::leaving:
        return "leaving";
    case membership::member_status::gone:
        return "gone";
    }
    return "gone";
}

json to_json(std::span<const finding> findings) {
    json list = json::array();
    for (const finding& f : findings) {
        list.push_back({{"place", f.place}, {"message", f.message}});
    }
    return list;
}

} // namespace

void admin_api::add_routes(httplib::Server& server) {
    const auto bind = [this](auto method) {
        return require_operator_key(
            [this, method](const httplib::Request& in) { return (this->*method)(in); });
    };
    server.Post("/admin/v1/sheet/check", bind(&admin_api::check_sheet));
    server.Post("/admin/v1/sheet", bind(&admin_api::apply_sheet));
    server.Get("/admin/v1/sheet", bind(&admin_api::get_sheet));
    server.Post("/admin/v1/keys", bind(&admin_api::add_key));
    server.Get("/admin/v1/keys", bind(&admin_api::list_keys));
    server.Post(R"(/admin/v1/keys/([^/]+)/withdraw)", bind(&admin_api::withdraw_key));
    server.Get("/admin/v1/config/status", bind(&admin_api::config_status));
    server.Get("/admin/v1/status", bind(&admin_api::fleet_status));
}

std::function<void(const httplib::Request&, httplib::Response&)>
admin_api::require_operator_key(handler serve) const {
    return [this, serve = std::move(serve)](const httplib::Request& in, httplib::Response& out) {
        const std::string digest = sha256_hex(bearer_key(in));
        if (!equal_constant_time(digest, m_deps.context.settings.operator_key_digest)) {
            write_error(out,
                        {error_code::unauthorized, "the operator key is missing or invalid",
                         run_state::not_run},
                        {});
            return;
        }
        const result<std::string> answer = serve(in);
        if (!answer) {
            write_error(out, answer.error(), {});
            return;
        }
        out.set_content(answer.value(), "application/json");
    };
}

result<std::string> admin_api::check_sheet(const httplib::Request& in) const {
    const config::sheet_result parsed = config::parse_sheet(in.body);
    if (const auto* findings = std::get_if<std::vector<finding>>(&parsed)) {
        return json{{"findings", to_json(*findings)}}.dump();
    }
    const config::document_ptr doc = m_deps.context.configuration.get();
    const config::sheet before = doc == nullptr ? config::sheet{} : doc->parsed;
    return json{{"findings", json::array()},
                {"version", m_deps.context.configuration.version()},
                {"diff", config::diff_sheets(before, std::get<config::sheet>(parsed))}}
        .dump();
}

void admin_api::publish_change(const config::document_ptr& doc, observe::event change_event,
                               std::string_view subject, std::uint64_t from_version) {
    m_deps.documents.offer(doc);
    m_deps.context.events.emit(change_event, subject,
                               {{"author", doc->head.author},
                                {"from_version", std::to_string(from_version)},
                                {"to_version", std::to_string(doc->head.version)}});
}

result<std::string> admin_api::apply_sheet(const httplib::Request& in) {
    std::uint64_t from_version = 0;
    if (!parse_int(in.get_param_value("from_version"), from_version)) {
        return error{error_code::invalid_request,
                     "query parameter from_version must be the version that the change is based on",
                     run_state::not_run};
    }
    BOOST_OUTCOME_TRY(outcome,
                      m_deps.repository.apply_sheet(from_version, in.body, operator_name(in)));
    if (const auto* conflict = std::get_if<platform::change_conflict>(&outcome)) {
        return error{error_code::conflict,
                     str_cat("version ", conflict->current_version, " is in force, not version ",
                             from_version, "; diff of the submitted sheet against it: ",
                             json(conflict->diff).dump()),
                     run_state::not_run};
    }
    const auto& doc = std::get<config::document_ptr>(outcome);
    publish_change(doc, observe::event::configuration_applied, {}, from_version);
    return json{{"version", doc->head.version}}.dump();
}

result<std::string> admin_api::get_sheet(const httplib::Request&) const {
    BOOST_OUTCOME_TRY(doc, m_deps.repository.read(m_deps.context.configuration.get()));
    if (doc == nullptr) {
        return json{{"version", 0}, {"sheet", ""}}.dump();
    }
    return json{{"version", doc->head.version}, {"sheet", doc->sheet_text}}.dump();
}

result<std::string> admin_api::add_key(const httplib::Request& in) {
    const json body = json::parse(in.body, nullptr, false);
    if (!body.is_object() || !body.contains("customer") || !body["customer"].is_string()) {
        return error{error_code::invalid_request,
                     "the body must be a JSON object with a string field \"customer\"",
                     run_state::not_run};
    }
    const std::string customer = body["customer"];
    const config::new_key created = config::make_key(customer);
    const auto add = [&](const config::document& doc) -> result<config::key_set> {
        if (!doc.parsed.customers.contains(customer)) {
            return error{error_code::not_found,
                         str_cat("customer \"", customer, "\" does not exist in the active sheet"),
                         run_state::not_run};
        }
        config::key_set keys = doc.keys;
        keys.add(created.record);
        return keys;
    };
    BOOST_OUTCOME_TRY(doc, m_deps.repository.change_keys(add, operator_name(in)));
    publish_change(doc, observe::event::key_changed, created.record.id, doc->head.version - 1);
    return json{{"id", created.record.id}, {"key", created.raw}, {"version", doc->head.version}}
        .dump();
}

result<std::string> admin_api::withdraw_key(const httplib::Request& in) {
    const std::string id = in.matches[1].str();
    const auto withdraw = [&](const config::document& doc) -> result<config::key_set> {
        config::key_set keys = doc.keys;
        if (!keys.withdraw(id)) {
            return error{error_code::not_found, str_cat("key \"", id, "\" does not exist"),
                         run_state::not_run};
        }
        return keys;
    };
    BOOST_OUTCOME_TRY(doc, m_deps.repository.change_keys(withdraw, operator_name(in)));
    publish_change(doc, observe::event::key_changed, id, doc->head.version - 1);
    return json{{"id", id}, {"version", doc->head.version}}.dump();
}

result<std::string> admin_api::list_keys(const httplib::Request&) const {
    const config::document_ptr doc = m_deps.context.configuration.get();
    json list = json::array();
    if (doc != nullptr) {
        for (const auto& [id, key] : doc->keys.records()) {
            list.push_back({{"id", id}, {"customer", key.customer}});
        }
    }
    return json{{"version", m_deps.context.configuration.version()}, {"keys", list}}.dump();
}

result<std::string> admin_api::config_status(const httplib::Request&) const {
    const time_point now = m_deps.context.clock();
    const std::uint64_t own_version = m_deps.context.configuration.version();
    return m_deps.members.with_table([now, own_version](const membership::member_table& table) {
        json hosts = json::array();
        hosts.push_back({{"host", table.self().host},
                         {"availability_zone", table.self().availability_zone},
                         {"version", own_version},
                         {"status", table.self().leaving ? "leaving" : "live"},
                         {"heard_ms_ago", 0}});
        for (const auto& [host, m] : table.others()) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - m.heard_at);
            hosts.push_back({{"host", host},
                             {"availability_zone", m.record.availability_zone},
                             {"version", m.record.config_version},
                             {"status", status_name(m.status)},
                             {"heard_ms_ago", age.count()}});
        }
        return json{{"hosts", hosts}}.dump();
    });
}

result<std::string> admin_api::fleet_status(const httplib::Request& in) const {
    BOOST_OUTCOME_TRY(hosts, config_status(in));
    json out = json::parse(hosts);
    out["targets"] = m_deps.targets.with_view([](const routing::target_view& view) {
        json list = json::array();
        for (const auto& [name, t] : view.targets()) {
            list.push_back({{"target", name},
                            {"availability_zone", t.info.availability_zone},
                            {"leaving", t.info.leaving},
                            {"running", t.report.running},
                            {"waiting", t.report.waiting},
                            {"slots", t.report.slots},
                            {"own_in_flight", t.local.in_flight}});
        }
        return list;
    });
    json customers = json::array();
    if (const config::document_ptr doc = m_deps.context.configuration.get()) {
        for (const auto& [name, c] : doc->parsed.customers) {
            customers.push_back({{"customer", name},
                                 {"rate_per_second", c.rate_per_second},
                                 {"burst", c.burst},
                                 {"weight", c.weight}});
        }
    }
    out["customers"] = customers;
    out["platform_reachable"] = m_deps.context.kv.reachable();
    return out.dump();
}

} // namespace eelgrassdoor::front
