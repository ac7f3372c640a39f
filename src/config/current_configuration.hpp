/// \file
/// Defines the object that holds the configuration in force. Its version only increases.
#pragma once

#include "config/document.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace eelgrassdoor::config {

/// Holds the configuration in force. Thread-safe; its mutex is a leaf in the lock order.
class current_configuration {
public:
    /// Puts \p candidate in force if its version is higher than the current one. Returns whether it
    /// did; false for a null candidate.
    bool offer(document_ptr candidate);
    /// The document in force, or null before the first one.
    [[nodiscard]] document_ptr get() const;
    /// The version in force, or 0 before the first one.
    [[nodiscard]] std::uint64_t version() const;

private:
    mutable absl::Mutex m_mutex;
    document_ptr m_document ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::config
