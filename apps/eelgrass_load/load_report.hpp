/// \file
/// Defines the evaluation of a load: latency percentiles, rate limit accuracy, CSV and plot.
#pragma once

#include "load_options.hpp"
#include "load_record.hpp"

#include <iosfwd>
#include <vector>

namespace eelgrassdoor::load {

/// How accurately the rate limit of one customer was enforced.
struct limit_report {
    /// Number of responses with status 200.
    int admitted = 0;
    /// Number of responses with status 429.
    int refused = 0;
    /// Number of refused requests that one token bucket for the whole fleet would have admitted.
    int wrongful = 0;
    /// Maximum number of admitted requests above rate * t + burst at any time.
    double excess = 0;
};

/// Compares the admitted requests of one customer with an ideal token bucket.
/// \param index the index of \p customer in load_options::customers.
/// \param records the records of all customers in order of due time.
limit_report check_limits(const load_customer& customer, std::size_t index,
                          const std::vector<load_record>& records);

/// Prints counts, latency percentiles and the accuracy of the rate limits.
void print_report(const load_options& options, const std::vector<load_record>& records,
                  std::ostream& out);
/// Writes one line per request to load_options::csv_path.
void write_csv(const load_options& options, const std::vector<load_record>& records);
/// Plots the time to the first token of every request to load_options::svg_path.
void write_svg(const load_options& options, const std::vector<load_record>& records);

} // namespace eelgrassdoor::load
