/// \file
/// Defines how a sheet is read from CSV.
#pragma once

#include "config/sheet.hpp"
#include "settings/finding.hpp"

#include <string_view>
#include <variant>
#include <vector>

namespace eelgrassdoor::config {

using sheet_result = std::variant<sheet, std::vector<finding>>;

/// Reads a sheet completely. Returns every finding with its row and column, or the sheet.
/// The first row names the columns; their order is free.
sheet_result parse_sheet(std::string_view csv);

} // namespace eelgrassdoor::config
