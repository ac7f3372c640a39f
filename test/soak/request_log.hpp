/// \file
/// Defines the record of all requests that reach the engines of a soak.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace eelgrassdoor::test {

/// A file to which engines append one line for each request before they answer, so that it tells
/// of all requests also when an engine is killed. Not thread-safe.
class request_log {
public:
    /// Opens the file, which is created if it does not exist.
    explicit request_log(const std::string& path);
    ~request_log();
    request_log(const request_log&) = delete;
    request_log& operator=(const request_log&) = delete;

    /// Appends a line at once. Several processes may do so.
    void append(std::string_view engine, std::string_view path);
    /// Number of requests so far.
    std::size_t count();
    /// How often engines have begun to run each path that begins with \p prefix.
    std::map<std::string, int> runs_by_path(std::string_view prefix);

private:
    /// Takes the lines that were appended since the last call.
    void read();

    int m_file = -1;
    /// A part of a line.
    std::string m_rest;
    std::size_t m_count = 0;
    std::map<std::string, int, std::less<>> m_runs;
};

} // namespace eelgrassdoor::test
