/// \file
/// Defines a client that reads a stream and takes it up at another host.
#pragma once

#include "fleet.hpp"

#include <cstdint>
#include <string>

namespace eelgrassdoor::review {

/// What a client has of a stream. Must outlive read_stream().
struct stream {
    std::string attempt;
    std::uint64_t last_event = 0;
    /// Set by the client to leave the stream.
    bool is_closed = false;
};

/// How the answer to one attempt began.
struct stream_answer {
    /// 0 when no response came.
    int status = 0;
    /// Id of the first event; 0 without one.
    std::uint64_t first_event = 0;
    /// What the answer says in Retry-After; zero if nothing.
    duration retry_after{};
};

/// A request for a stream of tenant t0 with \p left until its deadline.
net::http_request stream_request(const std::string& attempt, duration left);
/// Sends \p request on a new connection to an entry host and reads events into \p state until the
/// answer ends, \p end is reached or \p state is closed.
net::task<stream_answer> read_stream(fleet& all, std::size_t host, net::http_request request,
                                     stream& state, time_point end);

/// Counts of one take-up after another. Must outlive take_up() and begin_new().
struct take_up_counts {
    int taken_up = 0;
    int go_on = 0;
    int new_streams = 0;
    int begin = 0;
};

/// Takes \p broken up at an entry host: the answer has to begin with the next event.
net::task<> take_up(fleet& all, const stream& broken, std::size_t host, time_point end,
                    take_up_counts& counts);
/// Begins a new stream at an entry host.
net::task<> begin_new(fleet& all, std::size_t number, std::size_t host, time_point end,
                      take_up_counts& counts);
/// Records \p counts and judges them by the rule: of 12 or more streams that are taken up, the
/// share that goes on must not be under half of the share of new streams that begin.
int judge_take_up(fleet& all, const take_up_counts& counts);

} // namespace eelgrassdoor::review
