/// \file
/// Defines one run of a batch item at a target.
#pragma once

#include "jobs/job_table.hpp"

namespace eelgrassdoor::jobs {

/// Runs the item at \p target, behind the events that it has from earlier runs.
net::task<item_outcome> run_item_at(serving::service_context& context, running_item& running,
                                    routing::fleet_target target);

} // namespace eelgrassdoor::jobs
