/// \file
/// Defines the paths and sizes on which the engines and callers of a soak agree.
#pragma once

#include <cstdint>
#include <string_view>

namespace eelgrassdoor::test {

constexpr std::uint64_t events_per_stream = 40;
/// Events of a response to a request under once_path.
constexpr std::uint64_t events_per_brief_response = 2;
constexpr std::uint64_t events_per_long_item = 220;

/// Begins the paths of requests that may not be repeated.
constexpr std::string_view once_path = "/u/";
/// Begins the paths of streams that may not be resumed.
constexpr std::string_view once_stream_path = "/q/";
/// Begins the paths of items with events_per_long_item.
constexpr std::string_view long_item_path = "/j/long/";

} // namespace eelgrassdoor::test
