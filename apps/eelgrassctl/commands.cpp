#include "commands.hpp"

#include "api_client.hpp"
#include "base/text.hpp"
#include "timeline_merge.hpp"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <sstream>
#include <vector>

namespace eelgrassdoor::ctl {

namespace {

namespace po = boost::program_options;
using nlohmann::json;

constexpr int exit_success = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage_error = 2;
constexpr int exit_outcome_unknown = 3;

constexpr std::string_view usage = R"(Usage: eelgrassctl [options] COMMAND

  sheet check FILE           report all errors in a sheet without applying it
  sheet diff FILE            show what applying FILE would change
  sheet apply FILE           put FILE in force unless the sheet was changed concurrently
  sheet show                 print the sheet in force
  keys add CUSTOMER          create a key; it is shown only once
  keys withdraw ID           withdraw a key
  keys list                  list the ids of all keys
  batch submit FILE          submit a job in JSON Lines format (requires --key)
  batch status JOB           show the progress of a job
  batch cancel JOB           cancel a job
  batch results JOB          print the results available so far
  config status              show the version in force on every host
  status                     show hosts, targets and customers
  timeline merge FILE...     merge the timelines of several processes (--subject ID: only of one
                             request or job)

)";

/// The parsed command line.
struct command_line {
    /// Command, subcommand and operands.
    std::vector<std::string> words;
    api_options api;
    std::string subject;
    std::string idempotency_key;
    std::optional<std::uint64_t> from_version;
    bool as_json = false;
};

/// Output streams of a command.
struct console {
    std::ostream& out;
    std::ostream& err;
};

/// Returns the contents of a file, or nothing when it cannot be opened.
std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

/// Prints the message of a failed call; returns the exit status.
int report_status(const api_response& response, console io) {
    if (response.ok()) {
        return exit_success;
    }
    io.err << response.message() << "\n";
    return response.may_have_executed ? exit_outcome_unknown : exit_failure;
}

/// Prints the body of a successful call, formatted when it is JSON, or the message of a failed one;
/// returns the exit status.
int print_response(const api_response& response, console io) {
    if (response.ok()) {
        const json body = response.json();
        io.out << (body.is_discarded() ? response.body : body.dump(2)) << "\n";
    }
    return report_status(response, io);
}

/// Prints all errors in a sheet, or what applying it would change.
int check_sheet(const command_line& line, const std::string& text, console io) {
    const api_response response =
        api_client(line.api).post("/admin/v1/sheet/check", text, "text/csv");
    if (!response.ok()) {
        return report_status(response, io);
    }
    const json body = response.json();
    for (const json& f : body["findings"]) {
        io.err << f.value("place", "") << ": " << f.value("message", "") << "\n";
    }
    if (!body["findings"].empty()) {
        return exit_failure;
    }
    for (const json& change : body["diff"]) {
        io.out << change.get<std::string>() << "\n";
    }
    io.out << "no errors; version in force: " << body.value("version", 0) << "\n";
    return exit_success;
}

/// Determines whether a sheet whose apply has an unknown outcome is in force.
/// \param base_version the version that the apply was based on.
int resolve_unknown_apply(const api_client& api, const std::string& text,
                          std::uint64_t base_version, console io) {
    const api_response current = api.get("/admin/v1/sheet");
    if (!current.ok()) {
        io.err << "the outcome is unknown; check it with \"sheet show\"\n";
        return exit_outcome_unknown;
    }
    const json body = current.json();
    if (body.value("sheet", "") == text && body.value("version", std::uint64_t{0}) > base_version) {
        io.out << "in force as version " << body["version"] << "\n";
        return exit_success;
    }
    io.err << "the sheet is not in force; version " << body["version"] << " is in force\n";
    return exit_failure;
}

/// Applies a sheet unless the version in force differs from the one it is based on: --from-version,
/// or else the version in force at the start.
int apply_sheet(const command_line& line, const std::string& text, console io) {
    const api_client api(line.api);
    std::uint64_t base_version = 0;
    if (line.from_version) {
        base_version = *line.from_version;
    } else {
        const api_response current = api.get("/admin/v1/sheet");
        if (!current.ok()) {
            return report_status(current, io);
        }
        base_version = current.json().value("version", std::uint64_t{0});
    }
    const api_response response =
        api.post("/admin/v1/sheet?from_version=" + std::to_string(base_version), text, "text/csv");
    if (response.ok()) {
        io.out << "in force as version " << response.json()["version"] << "\n";
        return exit_success;
    }
    const json body = response.json();
    const bool outcome_unknown = response.status == 0
                                     ? response.may_have_executed
                                     : body.is_object() && body.contains("error") &&
                                           body["error"].value("run", "") == "unknown";
    return outcome_unknown ? resolve_unknown_apply(api, text, base_version, io)
                           : report_status(response, io);
}

int run_sheet(const command_line& line, console io) {
    const std::string& subcommand = line.words[1];
    if (subcommand == "show") {
        const api_response response = api_client(line.api).get("/admin/v1/sheet");
        if (response.ok()) {
            io.out << response.json().value("sheet", "");
        }
        return report_status(response, io);
    }
    if (line.words.size() < 3) {
        io.err << usage;
        return exit_usage_error;
    }
    const std::optional<std::string> text = read_file(line.words[2]);
    if (!text) {
        io.err << "file \"" << line.words[2] << "\" cannot be read\n";
        return exit_failure;
    }
    if (subcommand == "check" || subcommand == "diff") {
        return check_sheet(line, *text, io);
    }
    if (subcommand == "apply") {
        return apply_sheet(line, *text, io);
    }
    io.err << usage;
    return exit_usage_error;
}

int run_keys(const command_line& line, console io) {
    const api_client api(line.api);
    const std::string& subcommand = line.words[1];
    if (subcommand == "list") {
        return print_response(api.get("/admin/v1/keys"), io);
    }
    if (subcommand == "add" && line.words.size() == 3) {
        return print_response(api.post("/admin/v1/keys", json{{"customer", line.words[2]}}.dump(),
                                       "application/json"),
                              io);
    }
    if (subcommand == "withdraw" && line.words.size() == 3) {
        return print_response(
            api.post("/admin/v1/keys/" + line.words[2] + "/withdraw", "", "application/json"), io);
    }
    io.err << usage;
    return exit_usage_error;
}

int run_batch(const command_line& line, console io) {
    const api_client api(line.api);
    if (line.words.size() != 3) {
        io.err << usage;
        return exit_usage_error;
    }
    const std::string& subcommand = line.words[1];
    const std::string& argument = line.words[2];
    if (subcommand == "submit") {
        const std::optional<std::string> text = read_file(argument);
        if (!text) {
            io.err << "file \"" << argument << "\" cannot be read\n";
            return exit_failure;
        }
        return print_response(
            api.post("/v1/batches", *text, "application/jsonl", false, line.idempotency_key), io);
    }
    const std::string path = "/v1/batches/" + argument;
    if (subcommand == "status") {
        return print_response(api.get(path, false), io);
    }
    if (subcommand == "cancel") {
        return print_response(api.post(path + "/cancel", "", "application/json", false), io);
    }
    if (subcommand == "results") {
        const api_response response = api.get(path + "/results", false);
        if (response.ok()) {
            io.out << response.body;
        }
        return report_status(response, io);
    }
    io.err << usage;
    return exit_usage_error;
}

void print_hosts(const json& hosts, std::ostream& out) {
    out << "HOST\tZONE\tVERSION\tSTATUS\tHEARD MS AGO\n";
    for (const json& h : hosts) {
        out << h.value("host", "") << "\t" << h.value("availability_zone", "") << "\t"
            << h.value("version", 0) << "\t" << h.value("status", "") << "\t"
            << h.value("heard_ms_ago", 0) << "\n";
    }
}

/// Prints tables of hosts, targets and customers, or JSON.
int run_status(const command_line& line, const std::string& path, console io) {
    const api_response response = api_client(line.api).get(path);
    if (!response.ok() || line.as_json) {
        return print_response(response, io);
    }
    const json body = response.json();
    print_hosts(body["hosts"], io.out);
    if (body.contains("targets")) {
        io.out << "\nTARGET\tZONE\tRUNNING\tWAITING\tSLOTS\tLEAVING\n";
        for (const json& t : body["targets"]) {
            io.out << t.value("target", "") << "\t" << t.value("availability_zone", "") << "\t"
                   << t.value("running", 0) << "\t" << t.value("waiting", 0) << "\t"
                   << t.value("slots", 0) << "\t" << (t.value("leaving", false) ? "yes" : "no")
                   << "\n";
        }
        io.out << "\nCUSTOMER\tRATE\tBURST\tWEIGHT\n";
        for (const json& c : body["customers"]) {
            io.out << c.value("customer", "") << "\t" << c.value("rate_per_second", 0.0) << "\t"
                   << c.value("burst", 0.0) << "\t" << c.value("weight", 0.0) << "\n";
        }
    }
    return exit_success;
}

int dispatch(const command_line& line, console io) {
    const std::vector<std::string>& words = line.words;
    if (!words.empty() && words[0] == "status") {
        return run_status(line, "/admin/v1/status", io);
    }
    if (words.size() < 2) {
        io.err << usage;
        return exit_usage_error;
    }
    if (words[0] == "sheet") {
        return run_sheet(line, io);
    }
    if (words[0] == "keys") {
        return run_keys(line, io);
    }
    if (words[0] == "batch") {
        return run_batch(line, io);
    }
    if (words[0] == "config" && words[1] == "status") {
        return run_status(line, "/admin/v1/config/status", io);
    }
    if (words[0] == "timeline" && words[1] == "merge") {
        merge_timelines(std::span(words).subspan(2), line.subject, io.out);
        return exit_success;
    }
    io.err << usage;
    return exit_usage_error;
}

/// Returns an environment variable, or \p fallback when it is not set.
std::string environment(const char* name, const std::string& fallback) {
    const char* value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

} // namespace

int run(std::span<const std::string> arguments, std::ostream& out, std::ostream& err) {
    command_line line;
    po::options_description options("Options (or environment variables)");
    std::uint64_t from_version = 0;
    options.add_options()("help", "print this help")("version", "print the version")(
        "server",
        po::value(&line.api.server)
            ->default_value(environment("EELGRASSCTL_SERVER", line.api.server)),
        "URL of any daemon (EELGRASSCTL_SERVER)")(
        "operator-key",
        po::value(&line.api.operator_key)
            ->default_value(environment("EELGRASSCTL_OPERATOR_KEY", ""), ""),
        "key of the administration API (EELGRASSCTL_OPERATOR_KEY)")(
        "key",
        po::value(&line.api.caller_key)->default_value(environment("EELGRASSCTL_KEY", ""), ""),
        "caller key, for the batch commands (EELGRASSCTL_KEY)")(
        "operator",
        po::value(&line.api.operator_name)
            ->default_value(environment("EELGRASSCTL_OPERATOR", "operator")),
        "your name, recorded in the timeline (EELGRASSCTL_OPERATOR)")(
        "from-version", po::value(&from_version), "version that a sheet is based on")(
        "idempotency-key", po::value(&line.idempotency_key),
        "key that identifies a resubmitted job")("subject", po::value(&line.subject),
                                                 "id of the request or job to show")(
        "json", po::bool_switch(&line.as_json), "print status as JSON");
    po::options_description all;
    all.add(options).add_options()("word", po::value(&line.words));
    po::positional_options_description words;
    words.add("word", -1);
    po::variables_map given;
    try {
        po::store(
            po::command_line_parser(std::vector<std::string>(arguments.begin(), arguments.end()))
                .options(all)
                .positional(words)
                .run(),
            given);
        po::notify(given);
    } catch (const po::error& e) {
        err << e.what() << "\n" << usage;
        return exit_usage_error;
    }
    if (given.count("help") != 0) {
        out << usage << options;
        return exit_success;
    }
    if (given.count("version") != 0) {
        out << "eelgrassctl " EELGRASSDOOR_VERSION "\n";
        return exit_success;
    }
    if (given.count("from-version") != 0) {
        line.from_version = from_version;
    }
    return dispatch(line, {out, err});
}

} // namespace eelgrassdoor::ctl
