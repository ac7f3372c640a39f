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

constexpr int done = 0;
constexpr int failed = 1;
constexpr int wrong_use = 2;
constexpr int unknown_outcome = 3;

constexpr std::string_view usage = R"(Usage: eelgrassctl [options] COMMAND

  sheet check FILE           report every fault of a sheet; changes nothing
  sheet diff FILE            what FILE would change
  sheet apply FILE           put FILE in force if nobody changed the sheet since
  sheet show                 the sheet in force
  keys add CUSTOMER          make a key; it is shown once
  keys withdraw ID           withdraw a key
  keys list                  the ids of all keys
  batch submit FILE          submit a job, JSON Lines (needs --key)
  batch status JOB           progress of a job
  batch cancel JOB           cancel a job
  batch results JOB          the results so far
  config status              the version in force on every host
  status                     hosts, targets and customers
  timeline merge FILE...     one time line of many processes (--subject ID: of one request)

)";

/// A command with its words and options.
struct command_line {
    std::vector<std::string> words;
    api_options api;
    std::string subject;
    std::string idempotency_key;
    std::optional<std::uint64_t> from_version;
    bool as_json = false;
};

/// Where a command prints.
struct console {
    std::ostream& out;
    std::ostream& err;
};

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

int report(const api_answer& answer, console io) {
    if (answer.ok()) {
        return done;
    }
    io.err << answer.message() << "\n";
    return answer.may_have_run ? unknown_outcome : failed;
}

int print_body(const api_answer& answer, console io) {
    if (answer.ok()) {
        const json body = answer.json();
        io.out << (body.is_discarded() ? answer.body : body.dump(2)) << "\n";
    }
    return report(answer, io);
}

int check_sheet(const command_line& line, const std::string& text, console io) {
    const api_answer answer = api_client(line.api).post("/admin/v1/sheet/check", text, "text/csv");
    if (!answer.ok()) {
        return report(answer, io);
    }
    const json body = answer.json();
    for (const json& f : body["findings"]) {
        io.err << f.value("place", "") << ": " << f.value("message", "") << "\n";
    }
    if (!body["findings"].empty()) {
        return failed;
    }
    for (const json& difference : body["diff"]) {
        io.out << difference.get<std::string>() << "\n";
    }
    io.out << "no faults; version in force: " << body.value("version", 0) << "\n";
    return done;
}

/// Settles a change whose answer was lost by looking at what is in force.
int settle_sheet(const api_client& api, const std::string& text, std::uint64_t from, console io) {
    const api_answer now = api.get("/admin/v1/sheet");
    if (!now.ok()) {
        io.err << "the outcome is unknown: ask again with sheet show\n";
        return unknown_outcome;
    }
    const json body = now.json();
    if (body.value("sheet", "") == text && body.value("version", std::uint64_t{0}) > from) {
        io.out << "in force as version " << body["version"] << "\n";
        return done;
    }
    io.err << "not in force; version " << body["version"] << " is\n";
    return failed;
}

int apply_sheet(const command_line& line, const std::string& text, console io) {
    const api_client api(line.api);
    std::uint64_t from = 0;
    if (line.from_version) {
        from = *line.from_version;
    } else {
        const api_answer before = api.get("/admin/v1/sheet");
        if (!before.ok()) {
            return report(before, io);
        }
        from = before.json().value("version", std::uint64_t{0});
    }
    const api_answer answer =
        api.post("/admin/v1/sheet?from_version=" + std::to_string(from), text, "text/csv");
    if (answer.ok()) {
        io.out << "in force as version " << answer.json()["version"] << "\n";
        return done;
    }
    const json body = answer.json();
    const bool unclear = answer.status == 0 ? answer.may_have_run
                                            : body.is_object() && body.contains("error") &&
                                                  body["error"].value("run", "") == "unknown";
    return unclear ? settle_sheet(api, text, from, io) : report(answer, io);
}

int run_sheet(const command_line& line, console io) {
    const std::string& verb = line.words[1];
    if (verb == "show") {
        const api_answer answer = api_client(line.api).get("/admin/v1/sheet");
        if (answer.ok()) {
            io.out << answer.json().value("sheet", "");
        }
        return report(answer, io);
    }
    if (line.words.size() < 3) {
        io.err << usage;
        return wrong_use;
    }
    const std::optional<std::string> text = read_file(line.words[2]);
    if (!text) {
        io.err << "file \"" << line.words[2] << "\" cannot be read\n";
        return failed;
    }
    if (verb == "check" || verb == "diff") {
        return check_sheet(line, *text, io);
    }
    if (verb == "apply") {
        return apply_sheet(line, *text, io);
    }
    io.err << usage;
    return wrong_use;
}

int run_keys(const command_line& line, console io) {
    const api_client api(line.api);
    const std::string& verb = line.words[1];
    if (verb == "list") {
        return print_body(api.get("/admin/v1/keys"), io);
    }
    if (verb == "add" && line.words.size() == 3) {
        return print_body(api.post("/admin/v1/keys", json{{"customer", line.words[2]}}.dump(),
                                   "application/json"),
                          io);
    }
    if (verb == "withdraw" && line.words.size() == 3) {
        return print_body(
            api.post("/admin/v1/keys/" + line.words[2] + "/withdraw", "", "application/json"), io);
    }
    io.err << usage;
    return wrong_use;
}

int run_batch(const command_line& line, console io) {
    const api_client api(line.api);
    if (line.words.size() != 3) {
        io.err << usage;
        return wrong_use;
    }
    const std::string& verb = line.words[1];
    const std::string& what = line.words[2];
    if (verb == "submit") {
        const std::optional<std::string> text = read_file(what);
        if (!text) {
            io.err << "file \"" << what << "\" cannot be read\n";
            return failed;
        }
        return print_body(
            api.post("/v1/batches", *text, "application/jsonl", false, line.idempotency_key), io);
    }
    const std::string path = "/v1/batches/" + what;
    if (verb == "status") {
        return print_body(api.get(path, false), io);
    }
    if (verb == "cancel") {
        return print_body(api.post(path + "/cancel", "", "application/json", false), io);
    }
    if (verb == "results") {
        const api_answer answer = api.get(path + "/results", false);
        if (answer.ok()) {
            io.out << answer.body;
        }
        return report(answer, io);
    }
    io.err << usage;
    return wrong_use;
}

void print_hosts(const json& hosts, std::ostream& out) {
    out << "HOST\tZONE\tVERSION\tSTATUS\tHEARD MS AGO\n";
    for (const json& h : hosts) {
        out << h.value("host", "") << "\t" << h.value("availability_zone", "") << "\t"
            << h.value("version", 0) << "\t" << h.value("status", "") << "\t"
            << h.value("heard_ms_ago", 0) << "\n";
    }
}

int run_status(const command_line& line, const std::string& path, console io) {
    const api_answer answer = api_client(line.api).get(path);
    if (!answer.ok() || line.as_json) {
        return print_body(answer, io);
    }
    const json body = answer.json();
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
    return done;
}

int dispatch(const command_line& line, console io) {
    const std::vector<std::string>& words = line.words;
    if (!words.empty() && words[0] == "status") {
        return run_status(line, "/admin/v1/status", io);
    }
    if (words.size() < 2) {
        io.err << usage;
        return wrong_use;
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
        return done;
    }
    io.err << usage;
    return wrong_use;
}

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
        "operator key (EELGRASSCTL_OPERATOR_KEY)")(
        "key",
        po::value(&line.api.caller_key)->default_value(environment("EELGRASSCTL_KEY", ""), ""),
        "caller key, for batch (EELGRASSCTL_KEY)")(
        "operator",
        po::value(&line.api.operator_name)
            ->default_value(environment("EELGRASSCTL_OPERATOR", "operator")),
        "your name, for the time line (EELGRASSCTL_OPERATOR)")(
        "from-version", po::value(&from_version),
        "version that a sheet starts from")("idempotency-key", po::value(&line.idempotency_key),
                                            "makes a resent submission find its job")(
        "subject", po::value(&line.subject),
        "request or job to show")("json", po::bool_switch(&line.as_json), "print JSON");
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
        return wrong_use;
    }
    if (given.count("help") != 0) {
        out << usage << options;
        return done;
    }
    if (given.count("version") != 0) {
        out << "eelgrassctl " EELGRASSDOOR_VERSION "\n";
        return done;
    }
    if (given.count("from-version") != 0) {
        line.from_version = from_version;
    }
    return dispatch(line, {out, err});
}

} // namespace eelgrassdoor::ctl
