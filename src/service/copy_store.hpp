/// \file
/// Defines access to the files of any host's spool.
#pragma once

#include "base/error.hpp"
#include "service/daemon_context.hpp"
#include "service/member_service.hpp"
#include "spool/spool.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace eelgrassdoor::service {

/// Reads and writes files by host, storage and file name. Thread-safe.
class copy_store {
public:
    copy_store(runtime& shared, member_service& members, spool::spool& local);

    /// Called when another daemon has stored a file here.
    void on_stored(std::function<void(std::string_view storage, std::string_view file)> hook) {
        m_stored_hook = std::move(hook);
    }
    result<std::uint64_t> write(std::string_view host, std::string_view storage,
                                std::string_view file, std::uint64_t offset, std::string_view bytes,
                                bool sync);
    result<std::string> read(std::string_view host, std::string_view storage, std::string_view file,
                             std::uint64_t offset, std::uint64_t length);
    /// Copies the first \p bytes bytes of a file from one host to another.
    result<void> copy(std::string_view from, std::string_view to, std::string_view storage,
                      std::string_view file, std::uint64_t bytes);
    spool::spool& local() { return m_local; }

private:
    result<std::string> endpoint_of(std::string_view host) const;
    /// Writes to this host's spool, and tells the hook of each file that is whole on the disk:
    /// also of those of a submission that fails afterwards, as its job may exist.
    result<std::uint64_t> write_local(std::string_view storage, std::string_view file,
                                      std::uint64_t offset, std::string_view bytes, bool sync);
    peer::bulk_message serve_write(const peer::bulk_message& request);
    peer::bulk_message serve_read(const peer::bulk_message& request) const;

    runtime& m_shared;
    member_service& m_members;
    spool::spool& m_local;
    std::function<void(std::string_view, std::string_view)> m_stored_hook;
};

} // namespace eelgrassdoor::service
