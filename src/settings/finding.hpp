/// \file
/// Defines the finding: one fault of an input with the place where it stands.
#pragma once

#include <span>
#include <string>

namespace eelgrassdoor {

/// One fault. Findings are collected and reported together.
struct finding {
    /// For example `row 3, column "burst"` or `flag --http-port`.
    std::string place;
    std::string message;

    bool operator==(const finding&) const = default;
};

/// One line for each finding.
std::string to_text(std::span<const finding> findings);

} // namespace eelgrassdoor
