#include "platform/host_list.hpp"

#include "base/text.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace eelgrassdoor::platform {

NLOHMANN_JSON_SERIALIZE_ENUM(host_kind, {{host_kind::entry, "entry"},
                                         {host_kind::engine, "engine"},
                                         {host_kind::service, "service"}})

namespace {

using nlohmann::json;

error host_list_unavailable() {
    return {error_code::unavailable, "the host list cannot be fetched from the platform",
            run_state::not_run, seconds(1)};
}

std::string endpoint_from_url(std::string_view url) {
    const http::endpoint endpoint = http::endpoint::parse(url);
    return str_cat(endpoint.address, ":", endpoint.port);
}

} // namespace

std::string to_json(const host_list& list) {
    json hosts = json::array();
    for (const listed_host& h : list.hosts) {
        hosts.push_back({{"host", h.host},
                         {"availability_zone", h.availability_zone},
                         {"kind", h.kind},
                         {"address", h.address},
                         {"http_port", h.http_port},
                         {"peer_port", h.peer_port},
                         {"state", h.leaving ? "leaving" : "live"},
                         {"serves", h.serves}});
    }
    return json{{"version", list.version}, {"hosts", hosts}}.dump();
}

std::optional<host_list> host_list_from_json(std::string_view text) {
    try {
        const json root = json::parse(text);
        host_list out;
        out.version = root.at("version");
        for (const json& h : root.at("hosts")) {
            out.hosts.push_back({h.at("host"), h.at("availability_zone"),
                                 h.at("kind").get<host_kind>(), h.at("address"), h.at("http_port"),
                                 h.value("peer_port", 0), h.value("state", "live") == "leaving",
                                 h.value("serves", std::vector<std::string>{})});
        }
        return out;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

host_list_client::host_list_client(std::string_view url, clock_fn clock,
                                   const peer::drop_list& drops)
    : m_endpoint(endpoint_from_url(url)), m_drops(drops),
      m_pool(url, http::client_options{}, std::move(clock)) {}

result<host_list> host_list_client::fetch() {
    if (m_drops.drops_either_direction(m_endpoint)) {
        return host_list_unavailable();
    }
    http::client_pool::lease client = m_pool.acquire();
    const httplib::Result response = client->Get("/hosts");
    if (!response || response->status != 200) {
        return host_list_unavailable();
    }
    client.return_to_pool();
    std::optional<host_list> list = host_list_from_json(response->body);
    if (!list) {
        return host_list_unavailable();
    }
    return *std::move(list);
}

} // namespace eelgrassdoor::platform
