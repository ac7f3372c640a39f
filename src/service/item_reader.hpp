/// \file
/// Defines how a job's items are read from the local spool.
#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

namespace eelgrassdoor::service {

/// Reads items in order and caches their text until it is discarded. Not thread-safe.
class item_reader {
public:
    explicit item_reader(const std::string& path) : m_file(path, std::ios::binary) {}

    /// The text of item \p index, counted from 0; empty when the file ends before it. Items must be
    /// read in ascending order, except those that are still cached.
    std::string read(std::uint64_t index);
    /// Removes an item from the cache; it cannot be read again.
    void discard(std::uint64_t index) { m_cached_lines.erase(index); }

private:
    std::ifstream m_file;
    std::uint64_t m_next_index = 0;
    std::map<std::uint64_t, std::string> m_cached_lines;
};

} // namespace eelgrassdoor::service
