/// \file
/// Defines batching of the load digests of many daemons into few datagrams. Does no I/O.
#pragma once

#include "fleet/message.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Load digests of several daemons, forwarded byte for byte as their senders encoded them.
struct digest_bundle {
    static constexpr std::uint8_t kind = 5;
    /// Availability zone of the daemon that sends the bundle.
    std::string availability_zone;
    /// Complete load_digest datagrams, each with its version and kind bytes.
    std::vector<std::string> datagrams;

    template <typename Archive> void serialize(Archive& ar) {
        peer::serialize_string(ar, availability_zone);
        peer::serialize_list(ar, datagrams, [](Archive& a, std::string& value) {
            peer::serialize_string(a, value);
        });
    }
};

/// Collects digests until they are forwarded. Keeps only the latest one added for each daemon. Not
/// thread-safe.
class bundle_collector {
public:
    /// Maximum sum of the digest sizes in one bundle, in bytes. IP fragments such a datagram into a
    /// few frames; sending more, smaller datagrams would cost small hosts more than an occasional
    /// lost bundle, whose digests are soon repeated.
    static constexpr std::size_t max_bundle_bytes = 8000;

    /// Adds the digest of \p host, replacing an earlier one. A digest larger than
    /// peer::max_string_bytes does not fit into a bundle and is ignored; daemons in other zones
    /// then request it through digest_relay.
    void add(std::string_view host, std::string_view datagram);
    [[nodiscard]] bool empty() const { return m_digests.empty(); }
    /// Returns the collected digests as encoded digest_bundle datagrams and clears the collection.
    std::vector<std::string> take(std::string_view own_zone);

private:
    std::map<std::string, std::string, std::less<>> m_digests;
};

} // namespace eelgrassdoor::fleet
