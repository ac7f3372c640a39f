#include "config/current_configuration.hpp"

#include <utility>

namespace eelgrassdoor::config {

bool current_configuration::offer(document_ptr candidate) {
    const absl::MutexLock lock(&m_mutex);
    if (candidate == nullptr ||
        (m_document != nullptr && candidate->head.version <= m_document->head.version)) {
        return false;
    }
    m_document = std::move(candidate);
    return true;
}

document_ptr current_configuration::get() const {
    const absl::MutexLock lock(&m_mutex);
    return m_document;
}

std::uint64_t current_configuration::version() const {
    const document_ptr doc = get();
    return doc == nullptr ? 0 : doc->head.version;
}

} // namespace eelgrassdoor::config
