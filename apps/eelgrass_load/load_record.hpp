/// \file
/// Defines the measurements of one request.
#pragma once

#include <string>

namespace eelgrassdoor::load {

/// Measurements of one request; times are in seconds since the start of the load. The fields keep
/// the names of the columns in the CSV file.
struct load_record {
    /// Index into load_options::customers.
    std::size_t customer_index = 0;
    /// Planned time of sending. Latency is measured from it, so that a delay in the generator does
    /// not hide latency (coordinated omission).
    double due_s = 0;
    /// Actual time of sending.
    double sent_s = 0;
    /// Time of the first token, or of the response of a service; 0 when none was received.
    double first_s = 0;
    /// Time of the last data received; 0 when none was received.
    double end_s = 0;
    /// Mean time between tokens; 0 when there are fewer than two.
    double between_s = 0;
    /// HTTP status; 0 when no response was received.
    int status = 0;
    /// Whether the response was received completely.
    bool whole = false;
    /// Not filled in; kept as a column of the CSV file.
    std::string run;
};

} // namespace eelgrassdoor::load
