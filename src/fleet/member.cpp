#include "fleet/member.hpp"

#include "base/text.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassdoor::fleet {

std::string member_key(std::string_view host) {
    return str_cat(member_prefix, host);
}

std::string to_json(const member& record) {
    return nlohmann::json{{"host", record.host},
                          {"zone", record.availability_zone},
                          {"endpoint", record.endpoint},
                          {"incarnation", record.incarnation},
                          {"callers", record.serves_callers},
                          {"tokens", record.holds_tokens},
                          {"permits", record.issues_permits},
                          {"stream_versions", record.keeps_stream_versions},
                          {"relays", record.relays_requests},
                          {"jobs", record.runs_jobs}}
        .dump();
}

std::optional<member> member_from_json(std::string_view text) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    try {
        return member{.host = json.at("host"),
                      .availability_zone = json.at("zone"),
                      .endpoint = json.at("endpoint"),
                      .incarnation = json.at("incarnation"),
                      .serves_callers = json.at("callers"),
                      .holds_tokens = json.value("tokens", false),
                      .issues_permits = json.value("permits", false),
                      .keeps_stream_versions = json.value("stream_versions", false),
                      .relays_requests = json.value("relays", false),
                      .runs_jobs = json.at("jobs")};
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace eelgrassdoor::fleet
