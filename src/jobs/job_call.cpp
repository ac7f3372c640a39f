#include "jobs/job_call.hpp"

#include "peer/codec.hpp"

#include <cereal/types/string.hpp>

namespace eelgrassdoor::jobs {

namespace {

/// Wire format of a job_reply, with the result page as encoded bytes.
struct wire_reply {
    reply_status status = reply_status::unavailable;
    std::string owner_endpoint;
    std::string page;
    std::string body;

    template <typename Archive> void serialize(Archive& ar) {
        ar(status, owner_endpoint, page, body);
    }
};

} // namespace

template <typename Archive> void serialize(Archive& ar, job_call& call) {
    ar(call.kind, call.job, call.customer, call.route, call.host, call.body, call.after,
       call.wait_ms, call.item, call.redirected);
}

std::string encode(const job_call& call) {
    return peer::encode(call) + peer::encode(call.max_page_bytes);
}

std::optional<job_call> decode_call(std::string_view bytes) {
    std::optional<job_call> call = peer::decode_front<job_call>(bytes);
    if (call && !bytes.empty()) {
        const auto max_page_bytes = peer::decode<std::uint64_t>(bytes);
        call->max_page_bytes = max_page_bytes.value_or(call->max_page_bytes);
    }
    return call;
}

std::string encode(const job_reply& reply) {
    return peer::encode(
        wire_reply{reply.status, reply.owner_endpoint, encode(reply.page), reply.body});
}

std::optional<job_reply> decode_reply(std::string_view bytes) {
    const auto wire = peer::decode<wire_reply>(bytes);
    if (!wire) {
        return std::nullopt;
    }
    auto page = decode_page(wire->page);
    if (!page) {
        return std::nullopt;
    }
    return job_reply{wire->status, wire->owner_endpoint, std::move(*page), wire->body};
}

} // namespace eelgrassdoor::jobs
