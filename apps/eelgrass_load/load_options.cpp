#include "load_options.hpp"

#include "base/text.hpp"

#include <boost/program_options.hpp>

#include <sstream>

namespace eelgrassdoor::load {

namespace {

namespace po = boost::program_options;

bool parse_customer(const std::string& text, load_customer& out) {
    const std::vector<std::string_view> parts = split(text, ':');
    if (parts.size() != 3 && parts.size() != 5) {
        return false;
    }
    out.name = parts[0];
    out.key = parts[1];
    bool valid = parse_double(parts[2], out.offered_per_second) && out.offered_per_second > 0;
    if (parts.size() == 5) {
        valid = valid && parse_double(parts[3], out.rate_per_second) &&
                parse_double(parts[4], out.burst);
    }
    return valid;
}

bool parse_batch(const std::string& text, load_batch& out) {
    const std::vector<std::string_view> parts = split(text, ':');
    if (parts.size() != 3) {
        return false;
    }
    out.key = parts[0];
    return parse_int(parts[1], out.items) && parse_int(parts[2], out.max_tokens);
}

} // namespace

parse_outcome parse_load_options(std::span<const std::string> arguments) {
    load_options out;
    std::string hosts;
    std::vector<std::string> customers;
    std::vector<std::string> batches;
    po::options_description options("eelgrass_load: sends open-loop load to entry hosts");
    options.add_options()("help", "print this help")("version", "print the version")(
        "hosts", po::value(&hosts), "comma-separated URLs of entry hosts")(
        "customer", po::value(&customers),
        "NAME:KEY:OFFERED_PER_S or NAME:KEY:OFFERED_PER_S:RATE:BURST; may be repeated")(
        "batch", po::value(&batches),
        "KEY:ITEMS:MAX_TOKENS, a job to submit at the start; may be repeated")(
        "model", po::value(&out.model), "model route")("service", po::value(&out.service),
                                                       "service route to call instead of a model")(
        "duration-s", po::value(&out.duration_s),
        "duration of the arrivals in seconds, at most 600")("seed", po::value(&out.seed),
                                                            "seed of the random arrivals")(
        "max-tokens", po::value(&out.max_tokens), "tokens to generate per request")(
        "prompt-groups", po::value(&out.prompt_groups), "number of distinct prompt prefixes")(
        "one-sided", po::bool_switch(&out.one_sided), "send all requests to the first host")(
        "burst-size", po::value(&out.burst_size), "number of requests that arrive together")(
        "csv", po::value(&out.csv_path), "output file with one line per request")(
        "svg", po::value(&out.svg_path), "output file for a plot of latency over time")(
        "mark", po::value(&out.marks),
        "SECONDS:LABEL, a vertical mark in the plot; may be repeated");
    std::vector<finding> findings;
    po::variables_map given;
    try {
        po::store(
            po::command_line_parser(std::vector<std::string>(arguments.begin(), arguments.end()))
                .options(options)
                .run(),
            given);
        po::notify(given);
    } catch (const po::error& e) {
        findings.push_back({"command line", e.what()});
    }
    if (given.count("help") != 0) {
        std::ostringstream text;
        text << options;
        return information_request{text.str()};
    }
    if (given.count("version") != 0) {
        return information_request{"eelgrass_load " EELGRASSDOOR_VERSION "\n"};
    }
    for (const std::string_view host : split(hosts, ',')) {
        out.hosts.emplace_back(host);
    }
    for (const std::string& text : customers) {
        load_customer c;
        if (!parse_customer(text, c)) {
            findings.push_back({"flag --customer", "invalid value \"" + text + "\"; see --help"});
        }
        out.customers.push_back(c);
    }
    for (const std::string& text : batches) {
        load_batch b;
        if (!parse_batch(text, b)) {
            findings.push_back({"flag --batch", "invalid value \"" + text + "\"; see --help"});
        }
        out.batches.push_back(b);
    }
    if (out.hosts.empty()) {
        findings.push_back({"flag --hosts", "is required"});
    }
    if (out.duration_s <= 0 || out.duration_s > 600) {
        findings.push_back({"flag --duration-s", "expected a number above 0 and at most 600"});
    }
    if (out.burst_size < 1 || out.prompt_groups < 1) {
        findings.push_back(
            {"flag --burst-size or --prompt-groups", "expected a whole number of at least 1"});
    }
    if (!findings.empty()) {
        return findings;
    }
    return out;
}

} // namespace eelgrassdoor::load
