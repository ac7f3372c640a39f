/// \file
/// Defines the command line options of eelgrass_load.
#pragma once

#include "settings/finding.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace eelgrassdoor::load {

/// A customer and the load it offers.
struct load_customer {
    std::string name;
    /// Its API key.
    std::string key;
    /// Mean rate of its requests.
    double offered_per_second = 1;
    /// Its rate limit in the sheet, to detect wrongful refusals; 0 for no check.
    double rate_per_second = 0;
    /// Its burst limit in the sheet, in requests.
    double burst = 0;
};

/// A batch job that is submitted at the start.
struct load_batch {
    /// API key of the customer.
    std::string key;
    int items = 0;
    /// Tokens to generate per item.
    int max_tokens = 8;
};

/// The validated options.
struct load_options {
    /// Base URLs of entry hosts.
    std::vector<std::string> hosts;
    std::vector<load_customer> customers;
    std::vector<load_batch> batches;
    /// Model route of the online requests; unused when `service` is set.
    std::string model = "intake-lm";
    /// Service route, to which plain calls are sent instead of model requests; may be empty.
    std::string service;
    /// Period of the arrivals; responses may take longer.
    double duration_s = 10;
    /// Seed of the arrival times and prompts.
    std::uint64_t seed = 1;
    int max_tokens = 8;
    /// Number of distinct prompt prefixes.
    int prompt_groups = 16;
    /// Whether all requests are sent to the first host.
    bool one_sided = false;
    /// Number of requests that arrive together.
    int burst_size = 1;
    /// Output file with one line per request; empty for none.
    std::string csv_path;
    /// Output file for a plot of latency over time; empty for none.
    std::string svg_path;
    /// Vertical marks `SECONDS:LABEL` in the plot.
    std::vector<std::string> marks;
};

/// The command line asked for information (--help or --version) instead of a run.
struct information_request {
    /// The text to print.
    std::string text;
};

/// Valid options, information to print, or all faults of the command line.
using parse_outcome = std::variant<load_options, information_request, std::vector<finding>>;

/// Parses the command line.
/// \param arguments the command line without the program name.
parse_outcome parse_load_options(std::span<const std::string> arguments);

} // namespace eelgrassdoor::load
