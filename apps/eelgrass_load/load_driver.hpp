/// \file
/// Defines the load generator.
#pragma once

#include "load_options.hpp"
#include "load_record.hpp"

#include <string>
#include <vector>

namespace eelgrassdoor::load {

/// Progress of one batch job.
struct batch_progress {
    /// Id of the job; empty when the submission failed.
    std::string job;
    /// Number of items completed after the last arrival.
    int completed_items = 0;
    /// Time from the submission to the count of completed_items.
    double elapsed_s = 0;
};

struct load_result {
    /// One record per request, in order of due time.
    std::vector<load_record> records;
    std::vector<batch_progress> batches;
};

/// Sends the load and waits for all responses. The arrivals are independent of the responses (open
/// loop).
load_result run_load(const load_options& options);

} // namespace eelgrassdoor::load
