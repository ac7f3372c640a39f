/// \file
/// Defines the checksummed records of a spool file.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace eelgrassdoor::spool {

/// The bytes of one record: length, checksum, payload.
std::string encode_record(std::string_view payload);

/// Calls \p on_record for every whole record from the start of \p bytes. Returns the size of the
/// whole records; what stands behind is torn or damaged.
std::size_t read_records(std::string_view bytes,
                         const std::function<void(std::string_view payload)>& on_record);

} // namespace eelgrassdoor::spool
