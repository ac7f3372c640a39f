/// \file
/// Defines helpers of the stand-ins, the programs that simulate external services in scenarios.
#pragma once

#include "observe/event_recorder.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrassdoor::stand_in {

/// Parses a command line of `--NAME VALUE` pairs. Leading dashes are stripped from the names; of a
/// repeated option the last value counts.
class arguments {
public:
    arguments(int argc, char** argv);
    /// Returns the value of option \p name, or \p fallback when it is absent.
    [[nodiscard]] std::string text(const std::string& name, const std::string& fallback) const;
    /// Returns the value of option \p name as an integer, or \p fallback when it is absent. Throws
    /// std::invalid_argument or std::out_of_range for a value that is not an integer.
    [[nodiscard]] int number(const std::string& name, int fallback) const;

private:
    std::map<std::string, std::string> m_values;
};

/// Serves on 127.0.0.1 at the port of `--port` until SIGTERM or SIGINT arrives or `--max-run-s`
/// seconds (900 by default) have passed, then exits the process with status 0 and drops all open
/// connections. Returns 1 when the port cannot be bound. Blocks both signals and ignores SIGPIPE.
int serve_until_signal(httplib::Server& server, const arguments& args);

/// Closes the connection after the response headers and before the body, so that the client cannot
/// tell whether the request took effect.
void truncate_response(httplib::Response& response);

/// Blocks the calling thread for \p milliseconds, to simulate the service's processing time.
void wait_ms(int milliseconds);

/// Creates an event recorder for host \p name in the availability zone `--zone`. It appends events
/// to the timeline file given by `--timeline`; without that option no timeline is written.
std::unique_ptr<observe::event_recorder> make_event_recorder(const arguments& args,
                                                             const std::string& name);

/// Advances the Lamport clock of \p events to the `X-Causal-Stamp` header of \p request, if there
/// is one. Throws when the header is not a number.
void merge_stamp(observe::event_recorder& events, const httplib::Request& request);

} // namespace eelgrassdoor::stand_in
