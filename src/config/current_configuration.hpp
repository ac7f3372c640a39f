/// \file
/// Defines which configuration a daemon uses: it never goes back.
#pragma once

#include "config/document.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace eelgrassdoor::config {

/// Holds the configuration in force. Thread-safe; a leaf in the lock order.
class current_configuration {
public:
    /// Takes \p candidate when its version is above the one in force; returns whether it did.
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
