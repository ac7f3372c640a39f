/// \file
/// Defines the CSV parser, which keeps the line number of each record for error messages.
#pragma once

#include "settings/finding.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::config {

/// One record of a CSV text.
struct csv_row {
    /// The line on which the record starts, counted from 1.
    int line = 0;
    std::vector<std::string> cells;
};

/// The parsed records and the errors found in the text.
struct parsed_csv {
    std::vector<csv_row> rows;
    std::vector<finding> findings;
};

/// Parses RFC 4180 text: quoted cells may contain commas, line ends and doubled quotes. Whitespace
/// around unquoted cells is removed; empty lines and lines that start with `#` are skipped. A
/// quoted cell that is not closed gives a finding. Records may have different numbers of cells.
parsed_csv parse_csv(std::string_view text);

/// Whether \p text is well-formed UTF-8.
bool is_utf8(std::string_view text);

/// Encodes \p text as one CSV cell, quoted where necessary.
std::string csv_cell(std::string_view text);

} // namespace eelgrassdoor::config
