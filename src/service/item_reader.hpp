/// \file
/// Defines the reader of a job's items from the local spool.
#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

namespace eelgrassdoor::service {

/// Reads items in order and keeps the text of those that may be needed again. One user at a time.
class item_reader {
public:
    explicit item_reader(const std::string& path) : m_file(path, std::ios::binary) {}

    /// The text of an item; empty when the file ends before it. Items must be asked for in rising
    /// order, but for those that were asked for before and not dropped.
    std::string read(std::uint64_t index);
    /// The item will not be asked for again.
    void discard(std::uint64_t index) { m_cached_lines.erase(index); }

private:
    std::ifstream m_file;
    std::uint64_t m_next_index = 0;
    std::map<std::uint64_t, std::string> m_cached_lines;
};

} // namespace eelgrassdoor::service
