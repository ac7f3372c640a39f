/// \file
/// Defines the authenticated frame around every message between daemons.
#pragma once

#include "base/clock.hpp"
#include "peer/message.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <bitset>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace eelgrassdoor::peer {

inline constexpr std::uint8_t protocol_version = 1;

/// What a frame says besides its body.
struct envelope {
    message_type type = message_type::gossip;
    bool is_reply = false;
    /// Ties a reply to its request.
    std::uint64_t call_id = 0;
    std::string sender;
    std::uint64_t incarnation = 0;
    /// Grows with each frame of one incarnation; a number seen before is a replay.
    std::uint64_t sequence = 0;
    /// Lamport stamp of the time line.
    std::uint64_t stamp = 0;
    std::string body;
};

/// Why a frame was dropped.
enum class drop_reason { malformed, wrong_version, forged, replayed, old_incarnation };

std::string_view to_string(drop_reason reason);

/// Seals and opens frames under the shared secret. Thread-safe.
class frame_authenticator {
public:
    frame_authenticator(std::string secret, std::string sender, std::uint64_t incarnation);

    /// Fills in sender, incarnation and sequence and returns the bytes of the frame.
    std::string sign(envelope e);
    /// Checks and reads a frame.
    std::variant<envelope, drop_reason> verify(std::string_view frame);

private:
    static constexpr std::size_t replay_window_frames = 4096;

    /// The numbers seen of one sender's incarnation.
    struct replay_window {
        std::uint64_t incarnation = 0;
        std::uint64_t highest_sequence = 0;
        std::bitset<replay_window_frames> seen;
    };

    /// Nothing when the frame is fresh.
    std::variant<std::monostate, drop_reason> check_replay(const envelope& e);

    const std::string m_secret;
    const std::string m_sender;
    const std::uint64_t m_incarnation;
    std::atomic<std::uint64_t> m_sequence{0};
    absl::Mutex m_mutex;
    std::map<std::string, replay_window> m_windows ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::peer
