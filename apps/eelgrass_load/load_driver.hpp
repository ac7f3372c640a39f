/// \file
/// Defines how the load is sent.
#pragma once

#include "load_options.hpp"
#include "load_record.hpp"

#include <string>
#include <vector>

namespace eelgrassdoor::load {

/// What became of one batch job.
struct batch_progress {
    std::string job;
    int completed_items = 0;
    double elapsed_s = 0;
};

struct load_result {
    /// In order of due time.
    std::vector<load_record> records;
    std::vector<batch_progress> batches;
};

/// Sends the whole load and waits for the answers. Arrivals do not wait for answers (open loop).
load_result run_load(const load_options& options);

} // namespace eelgrassdoor::load
