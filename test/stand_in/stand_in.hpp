/// \file
/// Defines what the stand-ins of outside systems share.
#pragma once

#include "observe/event_recorder.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrassdoor::stand_in {

/// The `--NAME VALUE` pairs of a command line.
class arguments {
public:
    arguments(int argc, char** argv);
    [[nodiscard]] std::string text(const std::string& name, const std::string& fallback) const;
    [[nodiscard]] int number(const std::string& name, int fallback) const;

private:
    std::map<std::string, std::string> m_values;
};

/// Serves until SIGTERM or SIGINT, or until \p max_run_s seconds have passed.
int serve_until_signal(httplib::Server& server, const arguments& args);

/// Makes the connection break after the answer's headers, as when an answer is lost.
void lose_answer(httplib::Response& response);

/// Passes time that the modelled system would take.
void spend_ms(int milliseconds);

/// An observer for the time line given by `--timeline`.
std::unique_ptr<observe::observer> make_observer(const arguments& args, const std::string& name);

/// Takes in the causal stamp of a request.
void merge_stamp(observe::observer& events, const httplib::Request& request);

} // namespace eelgrassdoor::stand_in
