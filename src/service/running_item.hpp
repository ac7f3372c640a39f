/// \file
/// Defines how one batch item is run on a target.
#pragma once

#include "batch/item_line.hpp"
#include "batch/job_progress.hpp"
#include "config/sheet.hpp"
#include "service/daemon_context.hpp"
#include "service/target_service.hpp"
#include "target/exchange.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>

namespace eelgrassdoor::service {

/// An item and the target to run it on.
struct item_task {
    std::string job;
    std::uint64_t index = 0;
    batch::item_line item;
    config::route route;
    std::string target;
    std::string endpoint;
};

/// The result of one attempt to run an item.
struct attempt_result {
    batch::attempt_outcome outcome = batch::attempt_outcome::not_run;
    /// The HTTP status of the target's response; 0 without a usable one.
    int status = 0;
    std::string body;
    /// The reason of a failure, for the item's error line.
    std::string message;
};

/// One attempt to run an item on a target. run() is called once; cancel() may be called at any time
/// and from any thread.
class running_item {
public:
    explicit running_item(time_point started_at) : m_started_at(started_at) {}

    /// Runs the item; returns when it has ended, was cancelled or exceeded its route's timeout.
    attempt_result run(const item_task& task, daemon_context& context, target_service& targets);
    /// Stops the item, to free its slot for online requests or because its job ends.
    void cancel();
    [[nodiscard]] time_point started_at() const { return m_started_at; }

private:
    const time_point m_started_at;
    absl::Mutex m_mutex;
    std::unique_ptr<target::exchange> m_exchange ABSL_GUARDED_BY(m_mutex);
    bool m_cancelled ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace eelgrassdoor::service
