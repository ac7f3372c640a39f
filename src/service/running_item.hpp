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

/// What a target is asked to run.
struct item_task {
    std::string job;
    std::uint64_t index = 0;
    batch::item_line item;
    config::route route;
    std::string target;
    std::string endpoint;
};

/// How it ended.
struct item_end {
    batch::attempt_outcome outcome = batch::attempt_outcome::not_run;
    int status = 0;
    std::string body;
    std::string message;
};

/// One item on one target. cancel() may be called from any thread.
class running_item {
public:
    explicit running_item(time_point began) : m_began(began) {}

    /// Runs the item; returns when it has ended or was cancelled.
    item_end run(const item_task& task, runtime& shared, target_service& targets);
    /// Stops the item in favour of online work, or because its job ends.
    void cancel();
    [[nodiscard]] time_point began() const { return m_began; }

private:
    const time_point m_began;
    absl::Mutex m_mutex;
    std::unique_ptr<target::exchange> m_exchange ABSL_GUARDED_BY(m_mutex);
    bool m_cancelled ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace eelgrassdoor::service
