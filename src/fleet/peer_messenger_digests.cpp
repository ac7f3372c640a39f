#include "base/digest.hpp"
#include "fleet/peer_messenger.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

namespace {

/// Saturates at 255: placement does not distinguish counts above a few.
std::uint8_t to_byte(int count) {
    return static_cast<std::uint8_t>(std::clamp(count, 0, 255));
}

} // namespace

std::string peer_messenger::make_own_digest() {
    load_digest digest;
    digest.host = m_options.self.host;
    digest.incarnation = m_options.self.incarnation;
    digest.sequence = ++m_sequence;
    for (const std::string& prefix : m_mirrors.prefixes()) {
        digest.content_revisions.push_back(m_mirrors.content_revision(prefix));
    }
    for (const auto& [id, share] : m_loads.local_load(m_clock())) {
        digest.targets.push_back({stable_hash(id), static_cast<std::uint16_t>(share.online),
                                  static_cast<std::uint16_t>(share.batch), to_byte(share.stalled),
                                  to_byte(share.failures)});
    }
    digest.leaving = m_loads.leaving();
    digest.is_final = m_stopped;
    digest.reaches_store = reaches_store && reaches_store();
    if (collect_waiting_tokens) {
        digest.waiting = collect_waiting_tokens();
    }
    return to_datagram(digest) + make_extensions();
}

std::string peer_messenger::make_extensions() {
    using evidence_list = std::vector<routing::segment_evidence>;
    const segment_reports segments =
        to_reports(collect_evidence ? collect_evidence() : evidence_list());
    const target_limit_entries limits = to_entries(m_loads.request_limits().reports(m_clock()));
    const segment_reports requests =
        to_reports(collect_request_evidence ? collect_request_evidence() : evidence_list());
    const pace_entries paces = to_entries(m_loads.capacities().reports(m_clock()));
    const bool has_paces = !paces.entries.empty();
    const bool has_requests = !requests.reports.empty() || has_paces;
    const bool has_limits = !limits.entries.empty() || has_requests;
    std::string out;
    if (!segments.reports.empty() || has_limits) {
        out += peer::encode(segments);
    }
    if (has_limits) {
        out += peer::encode(limits);
    }
    if (has_requests) {
        out += peer::encode(requests);
    }
    if (has_paces) {
        out += peer::encode(paces);
    }
    return out;
}

void peer_messenger::receive_extensions(std::string_view host, std::string_view body,
                                        const net::udp::endpoint& from) {
    const auto receive_next = [&]<typename Message>(const Message& /*type*/, auto handle) {
        if (body.empty()) {
            return;
        }
        if (const auto message = peer::decode_front<Message>(body)) {
            handle(*message);
        } else {
            body = {};
            log_malformed(from);
        }
    };
    receive_next(segment_reports{}, [this](const segment_reports& received) {
        if (on_evidence) {
            on_evidence(to_evidence(received));
        }
    });
    receive_next(target_limit_entries{},
                 [this](const target_limit_entries& received) { receive_limits(received); });
    receive_next(segment_reports{}, [this](const segment_reports& received) {
        if (on_request_evidence) {
            on_request_evidence(to_evidence(received));
        }
    });
    receive_next(pace_entries{}, [&](const pace_entries& received) {
        m_loads.capacities().merge(host, to_pace_reports(received), m_clock());
    });
}

void peer_messenger::receive_limits(const target_limit_entries& limits) {
    const std::vector<routing::target_instance> changed =
        m_loads.request_limits().merge(to_limit_reports(limits), m_clock());
    if (on_limit_change) {
        on_limit_change(changed);
    }
}

} // namespace eelgrassdoor::fleet
