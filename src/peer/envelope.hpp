/// \file
/// Defines the authenticated frame that carries every message between daemons.
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

/// Frames of any other version are dropped.
inline constexpr std::uint8_t protocol_version = 1;

/// A message with the metadata of its frame.
struct envelope {
    message_type type = message_type::gossip;
    bool is_reply = false;
    /// Matches a reply to its request; 0 for one-way messages.
    std::uint64_t call_id = 0;
    /// The host name of the sending daemon.
    std::string sender;
    /// Identifies one start of the sender; a later start has a higher number.
    std::uint64_t incarnation = 0;
    /// Increases with each frame of an incarnation; a number received twice marks a replay.
    std::uint64_t sequence = 0;
    /// Lamport timestamp of the sender, which orders the events of all daemons.
    std::uint64_t stamp = 0;
    std::string body;
};

/// Why a received frame was dropped.
enum class drop_reason { malformed, wrong_version, forged, replayed, old_incarnation };

/// The value of the `reason` label in the dropped-message metric.
std::string_view to_string(drop_reason reason);

/// Signs and verifies frames with HMAC-SHA-256 under a shared secret, and rejects replayed frames.
/// Frames are authenticated but not encrypted. Thread-safe.
class frame_authenticator {
public:
    /// \p sender and \p incarnation identify this daemon in the frames that it signs.
    frame_authenticator(std::string secret, std::string sender, std::uint64_t incarnation);

    /// Encodes \p e as a signed frame. Sender, incarnation and sequence are filled in here.
    std::string sign(envelope e);
    /// Verifies the MAC, the format and the freshness of \p frame and decodes it, or returns why it
    /// must be dropped. A frame is accepted once; frames may arrive out of order within the replay
    /// window.
    std::variant<envelope, drop_reason> verify(std::string_view frame);

private:
    /// Frames that are at least this many sequence numbers behind the newest are dropped as
    /// replays.
    static constexpr std::size_t replay_window_frames = 4096;

    /// The sequence numbers received from one incarnation of a sender.
    struct replay_window {
        std::uint64_t incarnation = 0;
        std::uint64_t highest_sequence = 0;
        /// Bit `sequence % replay_window_frames` is set when that sequence number was received.
        std::bitset<replay_window_frames> seen;
    };

    /// Records the sequence number of \p e. Returns the drop reason when \p e is a replay or comes
    /// from an earlier incarnation of its sender.
    std::variant<std::monostate, drop_reason> check_replay(const envelope& e);

    const std::string m_secret;
    const std::string m_sender;
    const std::uint64_t m_incarnation;
    std::atomic<std::uint64_t> m_sequence{0};
    absl::Mutex m_mutex;
    std::map<std::string, replay_window> m_windows ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::peer
