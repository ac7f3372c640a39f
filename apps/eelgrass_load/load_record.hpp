/// \file
/// Defines what is noted of one request of the load.
#pragma once

#include <string>

namespace eelgrassdoor::load {

/// All times are seconds since the start of the load.
struct load_record {
    std::size_t customer_index = 0;
    /// When the request should have been sent; latency counts from here, so that a slow sender
    /// hides nothing.
    double due_s = 0;
    double sent_s = 0;
    /// When the first token or the answer came; 0 when none did.
    double first_s = 0;
    double end_s = 0;
    /// Mean time between tokens.
    double between_s = 0;
    int status = 0;
    bool whole = false;
    std::string run;
};

} // namespace eelgrassdoor::load
