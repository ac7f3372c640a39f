/// \file
/// Defines what is worked out of a load: percentiles, refusals and the picture.
#pragma once

#include "load_options.hpp"
#include "load_record.hpp"

#include <iosfwd>
#include <vector>

namespace eelgrassdoor::load {

/// How the limits were kept for one customer.
struct limit_report {
    int admitted = 0;
    int refused = 0;
    /// Refused although one bucket for the whole fleet would have admitted the request.
    int wrongful = 0;
    /// By how much the admitted requests went over rate * t + burst, at the worst moment.
    double excess = 0;
};

/// Compares what was admitted with one ideal bucket. Records must be in order of due time.
limit_report check_limits(const load_customer& customer, std::size_t index,
                          const std::vector<load_record>& records);

void print_report(const load_options& options, const std::vector<load_record>& records,
                  std::ostream& out);
void write_csv(const load_options& options, const std::vector<load_record>& records);
void write_svg(const load_options& options, const std::vector<load_record>& records);

} // namespace eelgrassdoor::load
