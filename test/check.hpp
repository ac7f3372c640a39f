/// \file
/// Defines what the test programs share: requirements and property checks.
#pragma once

#include <rapidcheck.h>

#include <cstdio>
#include <string>

namespace eelgrassdoor::test {

inline int failures = 0;

/// Records a failure unless \p condition holds.
inline void require(bool condition, const std::string& what) {
    if (!condition) {
        ++failures;
        std::printf("FAILED: %s\n", what.c_str());
    }
}

/// Runs a property with the seed given by RC_PARAMS.
template <typename Property> void property(const std::string& what, Property p) {
    if (!rc::check(what, std::move(p))) {
        ++failures;
    }
}

/// The exit status of a test program.
inline int finish() {
    std::printf("%s\n", failures == 0 ? "passed" : "failed");
    return failures == 0 ? 0 : 1;
}

} // namespace eelgrassdoor::test
