/// \file
/// Defines the bulk data of one host: a folder for each submitted job.
#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::spool {

/// Files by storage name and file name. Thread-safe for different files; one file has one writer.
class spool {
public:
    /// \param folder the data folder; empty when the host keeps none.
    explicit spool(std::string directory);

    [[nodiscard]] bool enabled() const { return !m_directory.empty(); }
    /// Appends \p bytes at \p offset. What stands behind the offset is cut off: it was never
    /// committed. Fails when the file is shorter. With \p sync the bytes are on the disk when the
    /// call returns. Returns the size of the file.
    result<std::uint64_t> write(std::string_view storage, std::string_view file,
                                std::uint64_t offset, std::string_view bytes, bool sync);
    /// Reads up to \p length bytes; fewer at the end of the file.
    result<std::string> read(std::string_view storage, std::string_view file, std::uint64_t offset,
                             std::uint64_t length) const;
    void remove(std::string_view storage);
    /// The storages that are here.
    [[nodiscard]] std::vector<std::string> list() const;
    /// The path of a file, for buffered reading.
    [[nodiscard]] std::string path(std::string_view storage, std::string_view file) const;

private:
    std::string m_directory;
};

/// Whether \p name may be used as a file or storage name: letters, digits, '-'.
bool is_safe_name(std::string_view name);

} // namespace eelgrassdoor::spool
