/// \file
/// Defines how daemons learn from each other which software version began a stream.
#pragma once

#include "base/random_source.hpp"
#include "fleet/member_directory.hpp"
#include "fleet/message.hpp"
#include "fleet/stream_holders.hpp"
#include "fleet/stream_versions.hpp"
#include "fleet/token_server.hpp"
#include "net/asio.hpp"
#include "net/notification.hpp"
#include "observe/decision_log.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Keeps the software versions that began streams together with the other daemons, so that a stream
/// goes on only at the version that began it, whichever daemon its caller comes back to: some other
/// daemons get a copy of each stream's version, and a daemon that does not know a stream asks those
/// that may have one; see stream_holders. Not thread-safe.
class stream_version_exchange {
public:
    /// Whether a digest of \p host arrived recently.
    using is_heard_fn = std::function<bool(std::string_view host)>;

    /// The longest time that find() takes: several round trips between the most distant zones, and
    /// well within the time that a caller waits for a stream to go on.
    static constexpr duration lookup_timeout = milliseconds(250);
    /// When find() asks again those that have not answered, since a datagram may be lost: longer
    /// than the round trip between the most distant zones with the time in which a busy host does
    /// not run.
    static constexpr duration repeat_delay = milliseconds(100);

    stream_version_exchange(net::asio::any_io_executor executor, clock_fn clock, member self,
                            observe::decision_log& log, send_datagram_fn send)
        : m_executor(std::move(executor)), m_clock(clock), m_self(std::move(self)), m_log(log),
          m_send(std::move(send)), m_versions(std::move(clock)) {}

    /// Determines the holders among \p members. Call it when the members change and a few times a
    /// second, since daemons fall silent.
    void update(const member_map& members, const is_heard_fn& is_heard);

    /// Records that \p version began the stream of the caller's attempt \p attempt_id, here and at
    /// the other daemons that get a copy. Call it when the first event is passed on. Ignored when
    /// \p version is longer than max_version_bytes, and when the stream is known here already.
    void record(std::string_view customer, std::string_view attempt_id, std::string_view version);
    /// Returns the version that began the stream of the caller's attempt \p attempt_id, at once
    /// when it is known here, and otherwise from the other daemons, within lookup_timeout. Returns
    /// nothing when none of those that were asked knows it or answers in time.
    net::task<std::optional<std::string>> find(std::string customer, std::string attempt_id);

    /// Handles the body of a datagram. Returns false when it is malformed or its kind is not one
    /// about versions of streams.
    bool receive(std::uint8_t kind, std::string_view body, const net::udp::endpoint& from);

private:
    /// A daemon that was asked, and whether it has answered.
    struct question {
        stream_holder asked;
        bool is_answered = false;
    };
    struct lookup {
        std::uint64_t key = 0;
        net::notification wake;
        /// Their numbers are consecutive and begin with that of the lookup.
        std::vector<question> questions;
        std::size_t answers = 0;
        std::optional<std::string> version;
        /// The host that knew the version.
        std::string found_at;

        [[nodiscard]] bool is_decided() const {
            return version.has_value() || answers == questions.size();
        }
    };

    /// Sends the questions that are not answered.
    void ask(std::uint64_t first_number, const lookup& pending);
    /// Waits until \p pending is decided, or until \p end.
    net::task<> wait_for_answers(lookup& pending, time_point end);
    void receive_answer(const stream_answer& answer);
    void log_outcome(std::string_view attempt_id, const lookup& done);

    net::asio::any_io_executor m_executor;
    clock_fn m_clock;
    const member m_self;
    observe::decision_log& m_log;
    send_datagram_fn m_send;
    stream_versions m_versions;
    stream_holders m_holders;
    /// By the number of the first question.
    std::map<std::uint64_t, lookup> m_lookups;
    /// Starts at random, so that a restarted daemon does not get answers to its earlier queries.
    std::uint64_t m_next_number = secure_random_uint64();
};

} // namespace eelgrassdoor::fleet
