/// \file
/// Defines the fetching of newer snapshots from other daemons.
#pragma once

#include "fleet/newer_revision.hpp"
#include "fleet/snapshot_sources.hpp"
#include "net/http_client.hpp"
#include "serving/service_context.hpp"
#include "store/mirror.hpp"

#include <map>
#include <string>
#include <string_view>

namespace eelgrassdoor::host {

/// Path of the call with which a daemon fetches a snapshot. Its query names the prefix and the
/// lowest revision that is of use. Status 503 means that the daemon sends enough other snapshots at
/// present, and 404 that it does not have that revision.
inline constexpr std::string_view mirror_path = "/mirror";
/// Name of the zlib format in the Accept-Encoding and Content-Encoding fields.
inline constexpr std::string_view compressed_encoding = "deflate";

/// Keeps a mirror as new as those of the other daemons that are heard. Runs on the event loop's
/// thread; all references must outlive it.
class snapshot_puller {
public:
    snapshot_puller(serving::service_context& context, store::mirror& mirrors);

    /// Fetches a prefix from a daemon that has a newer revision, unless another source delivers it
    /// first. From another zone it is fetched only if neither the key-value service nor a daemon of
    /// the own zone delivers it soon.
    void pull(const fleet::newer_revision& newer);

private:
    /// Sources of one prefix.
    struct prefix_state {
        fleet::snapshot_sources sources;
        bool pulling = false;
    };
    /// How a source answered.
    enum class fetch_outcome { delivered, busy, failed };

    /// Fetches the prefix until no source with a newer revision is known.
    net::task<> pull_newest(std::string prefix);
    net::task<fetch_outcome> fetch(const fleet::newer_revision& newer);
    fetch_outcome apply(const fleet::newer_revision& newer, const net::http_response& response,
                        time_point started);
    fetch_outcome fail(const fleet::newer_revision& newer, std::string_view reason,
                       time_point started);
    [[nodiscard]] std::string elapsed_ms(time_point started) const;

    serving::service_context& m_context;
    store::mirror& m_mirror;
    net::http_client m_client;
    std::map<std::string, prefix_state, std::less<>> m_prefixes;
};

} // namespace eelgrassdoor::host
