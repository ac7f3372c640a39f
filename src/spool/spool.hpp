/// \file
/// Defines the spool of a host: the directory with the files of submitted batch jobs.
#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::spool {

/// Stores files in one subdirectory per submitted job, called a storage. Names that is_safe_name()
/// rejects are refused. Different files may be used from different threads; each file must have at
/// most one writer at a time.
class spool {
public:
    /// Creates the root directory of the spool when it does not exist.
    /// \param directory the root directory; empty when this host stores no batch data.
    explicit spool(std::string directory);

    /// Returns whether this host stores batch data; reading and writing fail otherwise.
    [[nodiscard]] bool enabled() const { return !m_directory.empty(); }
    /// Truncates the file to \p offset bytes, as data beyond it was never committed, and appends
    /// \p bytes. Creates the storage and the file as needed. With \p sync the data is flushed to
    /// the disk before the call returns. Returns the new size of the file in bytes. Fails with
    /// error_code::conflict when the file is shorter than \p offset, and with
    /// error_code::unavailable when a name is refused or the disk reports an error.
    result<std::uint64_t> write(std::string_view storage, std::string_view file,
                                std::uint64_t offset, std::string_view bytes, bool sync);
    /// Reads up to \p length bytes from \p offset; fewer at the end of the file. Fails with
    /// error_code::not_found when the file cannot be opened or a name is refused, and with
    /// error_code::unavailable when the disk reports an error.
    result<std::string> read(std::string_view storage, std::string_view file, std::uint64_t offset,
                             std::uint64_t length) const;
    /// Deletes a storage with all its files; does nothing when there is none.
    void remove(std::string_view storage);
    /// Returns the names of all storages on this host.
    [[nodiscard]] std::vector<std::string> list() const;
    /// Returns the path of a file, for reading it through a stream. The names are not checked.
    [[nodiscard]] std::string path(std::string_view storage, std::string_view file) const;

private:
    std::string m_directory;
};

/// Returns whether \p name may be used as a file or storage name: 1 to 64 letters, digits and '-',
/// so that it cannot refer to another directory.
bool is_safe_name(std::string_view name);

} // namespace eelgrassdoor::spool
