/// \file
/// Checks that all invalid settings are reported together, with their source and the accepted
/// values.
#include "check.hpp"
#include "settings/daemon_settings.hpp"

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::settings;
using eelgrassdoor::test::require;

const std::vector<std::string> valid_arguments{"--host",
                                               "h1",
                                               "--availability-zone",
                                               "z1",
                                               "--http-port",
                                               "8080",
                                               "--peer-port",
                                               "8081",
                                               "--platform-url",
                                               "http://127.0.0.1:2379",
                                               "--peer-secret",
                                               "a secret of enough length",
                                               "--operator-key",
                                               "another one of that kind"};

std::string findings_text(std::vector<std::string> arguments,
                          std::vector<std::string> environment = {}) {
    const parse_outcome outcome = parse_daemon_settings(arguments, environment);
    const auto* findings = std::get_if<std::vector<finding>>(&outcome);
    return findings == nullptr ? std::string() : to_text(*findings);
}

bool has(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

int main() {
    require(findings_text(valid_arguments).empty(),
            "valid settings should have no findings: " + findings_text(valid_arguments));
    const std::string missing = findings_text({});
    for (const char* name : {"--host", "--http-port", "--platform-url", "--peer-secret"}) {
        require(has(missing, name), std::string(name) + " should be reported as required");
    }
    std::vector<std::string> invalid_arguments = valid_arguments;
    invalid_arguments[5] = "99999";
    invalid_arguments[9] = "ftp://nowhere";
    invalid_arguments.insert(invalid_arguments.end(), {"--sped", "3"});
    const std::string report =
        findings_text(invalid_arguments, {"EELGRASSDOOR_DRAIN_MS=soon", "EELGRASSDOOR_X=1"});
    require(has(report, "flag --http-port: invalid value: expected a whole number from 1"),
            "an invalid port should be reported with its range: " + report);
    require(has(report, "flag --platform-url"),
            "an invalid URL should be reported besides the port");
    require(has(report, "environment EELGRASSDOOR_DRAIN_MS"),
            "an invalid environment variable should be reported by its name");
    require(has(report, "environment EELGRASSDOOR_X: unknown setting"),
            "an unknown environment variable should be reported");
    require(has(report, "--sped"), "an unknown flag should be reported");
    const auto from_environment = parse_daemon_settings(
        std::vector<std::string>(valid_arguments.begin() + 2, valid_arguments.end()),
        std::vector<std::string>{"EELGRASSDOOR_HOST=h9", "PATH=/bin"});
    require(std::holds_alternative<daemon_settings>(from_environment) &&
                std::get<daemon_settings>(from_environment).host == "h9",
            "host should be read from EELGRASSDOOR_HOST");
    const auto help = parse_daemon_settings(std::vector<std::string>{"--help"}, {});
    require(std::holds_alternative<information_request>(help),
            "--help should be accepted without any settings");
    return eelgrassdoor::test::finish();
}
