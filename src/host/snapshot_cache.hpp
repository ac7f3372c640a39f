/// \file
/// Defines the compressed snapshots that a daemon serves to others.
#pragma once

#include "store/mirror.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace eelgrassdoor::host {

/// Keeps the compressed snapshot of each prefix, so that a change is compressed once and not for
/// each daemon that fetches it. Not thread-safe.
class snapshot_cache {
public:
    /// \p mirrors must outlive this object.
    explicit snapshot_cache(const store::mirror& mirrors) : m_mirror(mirrors) {}

    /// Returns the encoded and compressed snapshot of \p prefix, valid until the next call.
    [[nodiscard]] const std::string& compressed(std::string_view prefix);

private:
    struct entry {
        std::uint64_t revision = 0;
        std::uint64_t content_revision = 0;
        std::string body;
    };

    const store::mirror& m_mirror;
    std::map<std::string, entry, std::less<>> m_entries;
};

} // namespace eelgrassdoor::host
