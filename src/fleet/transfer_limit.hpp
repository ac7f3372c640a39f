/// \file
/// Defines the limit on snapshots that a daemon sends at the same time. Does no I/O.
#pragma once

#include <cstddef>

namespace eelgrassdoor::fleet {

/// Limits the bytes that are being sent to other daemons. Transfers that share a link all end late;
/// a few at a time end one after the other, and each receiver then serves others. Not thread-safe.
class transfer_limit {
public:
    explicit transfer_limit(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

    /// Whether another \p bytes may be sent now. A transfer larger than the limit may be sent
    /// alone.
    [[nodiscard]] bool allows(std::size_t bytes) const {
        return m_in_flight == 0 || m_in_flight + bytes <= m_max_bytes;
    }
    /// Records that the transfer of \p bytes starts or has ended.
    void begin(std::size_t bytes) { m_in_flight += bytes; }
    void end(std::size_t bytes) { m_in_flight -= bytes; }

private:
    std::size_t m_max_bytes;
    std::size_t m_in_flight = 0;
};

} // namespace eelgrassdoor::fleet
