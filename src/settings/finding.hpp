/// \file
/// Defines a finding: one fault of an input with its location.
#pragma once

#include <span>
#include <string>

namespace eelgrassdoor {

/// One fault of an input. The findings of an input are collected and reported together.
struct finding {
    /// Location of the fault, for example `row 3, column "burst"` or `flag --http-port`.
    std::string place;
    /// What is wrong and what was expected.
    std::string message;

    bool operator==(const finding&) const = default;
};

/// Returns one line `place: message` per finding.
std::string to_text(std::span<const finding> findings);

} // namespace eelgrassdoor
