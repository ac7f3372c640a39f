/// \file
/// Defines the encoding of checksummed records in a spool file.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace eelgrassdoor::spool {

/// Returns the bytes of one record: length and CRC-32 of \p payload, then \p payload itself.
/// \param payload at most 64 MiB; read_records() treats a longer record as damaged.
std::string encode_record(std::string_view payload);

/// Calls \p on_record with the payload of every record from the start of \p bytes up to the first
/// one that is incomplete or damaged. Returns the size of the records read in bytes; what follows
/// them is not valid.
std::size_t read_records(std::string_view bytes,
                         const std::function<void(std::string_view payload)>& on_record);

} // namespace eelgrassdoor::spool
