#include "peer/envelope.hpp"

#include "base/digest.hpp"
#include "peer/codec.hpp"

#include <optional>
#include <utility>

namespace eelgrassdoor::peer {

namespace {

constexpr std::size_t mac_bytes = 32;
constexpr std::uint8_t frame_magic = 0xe6;
/// Large enough for the body of a bulk call, the longest of all.
constexpr std::uint32_t max_body_bytes = 64U << 20U;

/// The fields that precede the body in a frame; the MAC follows the body. The order of the fields
/// is the order on the wire.
struct frame_header {
    std::uint8_t magic = frame_magic;
    std::uint8_t version = protocol_version;
    std::uint8_t type = 0;
    bool is_reply = false;
    std::uint64_t call_id = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t stamp = 0;
    std::string sender;
    std::uint32_t body_bytes = 0;

    template <typename Archive> void serialize(Archive& ar) {
        ar(magic, version, type, is_reply, call_id, incarnation, sequence, stamp);
        serialize_string(ar, sender);
        ar(body_bytes);
    }
};

} // namespace

std::string_view to_string(drop_reason reason) {
    switch (reason) {
    case drop_reason::malformed:
        return "malformed";
    case drop_reason::wrong_version:
        return "wrong_version";
    case drop_reason::forged:
        return "forged";
    case drop_reason::replayed:
        return "replayed";
    case drop_reason::old_incarnation:
        return "old_incarnation";
    }
    return "malformed";
}

frame_authenticator::frame_authenticator(std::string secret, std::string sender,
                                         std::uint64_t incarnation)
    : m_secret(std::move(secret)), m_sender(std::move(sender)), m_incarnation(incarnation) {}

std::string frame_authenticator::sign(envelope e) {
    frame_header header;
    header.type = static_cast<std::uint8_t>(e.type);
    header.is_reply = e.is_reply;
    header.call_id = e.call_id;
    header.incarnation = m_incarnation;
    header.sequence = ++m_sequence;
    header.stamp = e.stamp;
    header.sender = m_sender;
    header.body_bytes = static_cast<std::uint32_t>(e.body.size());
    std::string frame = encode(header);
    frame += e.body;
    frame += hmac_sha256(m_secret, frame);
    return frame;
}

std::variant<envelope, drop_reason> frame_authenticator::verify(std::string_view frame) {
    if (frame.size() <= mac_bytes) {
        return drop_reason::malformed;
    }
    const std::string_view signed_part = frame.substr(0, frame.size() - mac_bytes);
    const std::string_view mac = frame.substr(signed_part.size());
    if (!equal_constant_time(mac, hmac_sha256(m_secret, signed_part))) {
        return drop_reason::forged;
    }
    const std::optional<frame_header> header = decode<frame_header>(signed_part);
    if (!header || header->magic != frame_magic || header->body_bytes > max_body_bytes ||
        header->body_bytes > signed_part.size()) {
        return drop_reason::malformed;
    }
    if (header->version != protocol_version) {
        return drop_reason::wrong_version;
    }
    envelope e{static_cast<message_type>(header->type),
               header->is_reply,
               header->call_id,
               header->sender,
               header->incarnation,
               header->sequence,
               header->stamp,
               std::string(signed_part.substr(signed_part.size() - header->body_bytes))};
    const auto replay_check = check_replay(e);
    if (const drop_reason* reason = std::get_if<drop_reason>(&replay_check)) {
        return *reason;
    }
    return e;
}

std::variant<std::monostate, drop_reason> frame_authenticator::check_replay(const envelope& e) {
    const absl::MutexLock lock(&m_mutex);
    replay_window& window = m_windows[e.sender];
    if (e.incarnation < window.incarnation) {
        return drop_reason::old_incarnation;
    }
    if (e.incarnation > window.incarnation) {
        window = replay_window{e.incarnation, 0, {}};
    }
    if (e.sequence + replay_window_frames <= window.highest_sequence) {
        return drop_reason::replayed;
    }
    for (; window.highest_sequence < e.sequence; ++window.highest_sequence) {
        if (e.sequence - window.highest_sequence > replay_window_frames) {
            window.seen.reset();
            window.highest_sequence = e.sequence - 1;
        }
        window.seen.reset((window.highest_sequence + 1) % replay_window_frames);
    }
    if (window.seen.test(e.sequence % replay_window_frames)) {
        return drop_reason::replayed;
    }
    window.seen.set(e.sequence % replay_window_frames);
    return std::monostate{};
}

} // namespace eelgrassdoor::peer
