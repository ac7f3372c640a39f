#include "host/snapshot_cache.hpp"

#include "base/compression.hpp"
#include "store/snapshot_codec.hpp"

namespace eelgrassdoor::host {

const std::string& snapshot_cache::compressed(std::string_view prefix) {
    entry& cached = m_entries[std::string(prefix)];
    const std::uint64_t revision = m_mirror.revision(prefix);
    const std::uint64_t content_revision = m_mirror.content_revision(prefix);
    const bool is_current =
        cached.revision == revision && cached.content_revision == content_revision;
    if (cached.body.empty() || !is_current) {
        cached = {revision, content_revision,
                  compress(store::encode_snapshot(m_mirror.snapshot(prefix)))};
    }
    return cached.body;
}

} // namespace eelgrassdoor::host
