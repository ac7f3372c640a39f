/// \file
/// Defines the parser of sheets in CSV.
#pragma once

#include "config/sheet.hpp"
#include "settings/finding.hpp"

#include <string_view>
#include <variant>
#include <vector>

namespace eelgrassdoor::config {

/// The sheet, or all errors found in it.
using sheet_result = std::variant<sheet, std::vector<finding>>;

/// Parses a whole sheet. Returns the sheet, or every error with its row and column. The first row
/// names the columns, in any order.
sheet_result parse_sheet(std::string_view csv);

} // namespace eelgrassdoor::config
