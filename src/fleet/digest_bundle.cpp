#include "fleet/digest_bundle.hpp"

namespace eelgrassdoor::fleet {

void bundle_collector::add(std::string_view host, std::string_view datagram) {
    if (datagram.size() <= peer::max_string_bytes) {
        m_digests.insert_or_assign(std::string(host), std::string(datagram));
    }
}

std::vector<std::string> bundle_collector::take(std::string_view own_zone) {
    std::vector<std::string> out;
    digest_bundle bundle{std::string(own_zone), {}};
    std::size_t bytes = 0;
    const auto close = [&] {
        if (!bundle.datagrams.empty()) {
            out.push_back(to_datagram(bundle));
            bundle.datagrams.clear();
            bytes = 0;
        }
    };
    for (auto& [host, datagram] : m_digests) {
        if (bytes + datagram.size() > max_bundle_bytes) {
            close();
        }
        bytes += datagram.size();
        bundle.datagrams.push_back(std::move(datagram));
    }
    close();
    m_digests.clear();
    return out;
}

} // namespace eelgrassdoor::fleet
