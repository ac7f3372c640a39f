/// \file
/// Defines the reader of CSV text, which keeps the row of each cell for findings.
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

/// The records that could be read and what was wrong with the others.
struct csv_text {
    std::vector<csv_row> rows;
    std::vector<finding> findings;
};

/// Reads RFC 4180 text: quoted cells may hold commas, line ends and doubled quotes.
/// Empty lines and lines that start with `#` are passed over.
csv_text parse_csv(std::string_view text);

/// Whether \p text is well-formed UTF-8.
bool is_utf8(std::string_view text);

/// \p text as one CSV cell.
std::string csv_cell(std::string_view text);

} // namespace eelgrassdoor::config
