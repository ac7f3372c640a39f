/// \file
/// Defines how the digests of many daemons are passed on in few datagrams. Pure: no I/O.
#pragma once

#include "fleet/message.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Digests of several daemons, as these sent them.
struct digest_bundle {
    static constexpr std::uint8_t kind = 5;
    /// The zone of the daemon that sends the bundle.
    std::string availability_zone;
    std::vector<std::string> datagrams;

    template <typename Archive> void serialize(Archive& ar) {
        peer::serialize_string(ar, availability_zone);
        peer::serialize_list(ar, datagrams, [](Archive& a, std::string& value) {
            peer::serialize_string(a, value);
        });
    }
};

/// Collects digests until they are passed on. Only the newest of each daemon is kept.
class bundle_collector {
public:
    /// A bundle that reaches this size is closed. The network splits it into a few frames; more
    /// datagrams would cost small hosts more than a lost bundle, whose digests are soon repeated.
    static constexpr std::size_t bundle_bytes = 8000;

    /// A digest that does not fit into a bundle is not passed on; daemons with so many targets at
    /// hand ask for it by themselves.
    void add(std::string_view host, std::string_view datagram);
    [[nodiscard]] bool empty() const { return m_digests.empty(); }
    /// The collected digests as datagrams; forgets them.
    std::vector<std::string> take(std::string_view own_zone);

private:
    std::map<std::string, std::string, std::less<>> m_digests;
};

} // namespace eelgrassdoor::fleet
