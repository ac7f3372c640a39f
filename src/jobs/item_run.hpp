/// \file
/// Defines the execution of a batch item at a target.
#pragma once

#include "jobs/job_table.hpp"

namespace eelgrassdoor::jobs {

/// Runs the item at \p target, resuming after the last event of earlier runs. Adds the events to
/// the item and reports the target's failure or response to the load table. A run that was stopped,
/// timed out or lost its connection ends as item_outcome::interrupted. So does one whose response
/// ends without framing after a whole event; the item is complete when the stream of the next run
/// ends without bringing anything, or targets have refused to run it several times. A next run
/// without a stream tells nothing.
net::task<item_outcome> run_item_at(serving::service_context& context, item_run& running,
                                    routing::fleet_target target);

} // namespace eelgrassdoor::jobs
