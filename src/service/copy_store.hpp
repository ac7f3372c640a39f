/// \file
/// Defines access to the spool files of this host and of other hosts.
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

/// Reads and writes spool files, addressed by host, storage (a directory of the spool) and file
/// name. Files of other hosts are accessed through their daemons; such a call fails with
/// error_code::unavailable when the host is not known or does not answer within 5 s. Thread-safe.
class copy_store {
public:
    copy_store(daemon_context& context, member_service& members, spool::spool& local);

    /// Sets the function called after each successful synced write to a file of this host, also one
    /// that another host requested. Call before the transport is started.
    void on_stored(std::function<void(std::string_view storage, std::string_view file)> hook) {
        m_stored_hook = std::move(hook);
    }
    /// Writes \p bytes at \p offset, cuts the file off after them and returns its size. With
    /// \p sync the file is on disk when the call returns. Fails with error_code::conflict when
    /// another host rejects it.
    result<std::uint64_t> write(std::string_view host, std::string_view storage,
                                std::string_view file, std::uint64_t offset, std::string_view bytes,
                                bool sync);
    /// Reads up to \p length bytes, of another host at most 4 MiB. Fails with
    /// error_code::not_found when another host does not have the file.
    result<std::string> read(std::string_view host, std::string_view storage, std::string_view file,
                             std::uint64_t offset, std::uint64_t length);
    /// Copies the first \p bytes bytes of a file from one host to another, and syncs the copy.
    result<void> copy(std::string_view from, std::string_view to, std::string_view storage,
                      std::string_view file, std::uint64_t bytes);
    /// The spool of this host.
    spool::spool& local() { return m_local; }

private:
    /// The peer endpoint of a host; fails with error_code::unavailable when it is not in the member
    /// table.
    result<std::string> endpoint_of(std::string_view host) const;
    /// Writes to this host's spool and calls the hook after a synced write. The hook is called at
    /// once and not when a submission succeeds, because a submission that fails may have created
    /// its job.
    result<std::uint64_t> write_local(std::string_view storage, std::string_view file,
                                      std::uint64_t offset, std::string_view bytes, bool sync);
    peer::bulk_message serve_write(const peer::bulk_message& request);
    peer::bulk_message serve_read(const peer::bulk_message& request) const;

    daemon_context& m_context;
    member_service& m_members;
    spool::spool& m_local;
    std::function<void(std::string_view, std::string_view)> m_stored_hook;
};

} // namespace eelgrassdoor::service
