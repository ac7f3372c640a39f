/// \file
/// Defines what eelgrass_load is asked to do.
#pragma once

#include "settings/finding.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace eelgrassdoor::load {

/// A customer of the load, and how much it sends.
struct load_customer {
    std::string name;
    std::string key;
    /// Requests a second that it sends.
    double offered_per_second = 1;
    /// Its limits in the sheet, to tell wrongful refusals; no check when the rate is 0.
    double rate_per_second = 0;
    double burst = 0;
};

/// A batch job that is submitted at the start.
struct load_batch {
    std::string key;
    int items = 0;
    int max_tokens = 8;
};

struct load_options {
    std::vector<std::string> hosts;
    std::vector<load_customer> customers;
    std::vector<load_batch> batches;
    /// Model route of online requests; with a service route plain calls are sent in its place.
    std::string model = "intake-lm";
    std::string service;
    double duration_s = 10;
    std::uint64_t seed = 1;
    int max_tokens = 8;
    /// Number of different prompt starts.
    int prompt_groups = 16;
    /// Whether all requests go to the first host.
    bool one_sided = false;
    /// Arrivals come in groups of this size on average.
    int burst_size = 1;
    std::string csv_path;
    std::string svg_path;
    /// Marks `SECONDS:LABEL` in the picture.
    std::vector<std::string> marks;
};

struct information_request {
    std::string text;
};

using parse_outcome = std::variant<load_options, information_request, std::vector<finding>>;

/// Reads the command line.
parse_outcome parse_load_options(std::span<const std::string> arguments);

} // namespace eelgrassdoor::load
