/// \file
/// Defines the assertions and property checks shared by the test programs.
#pragma once

#include <rapidcheck.h>

#include <cstdio>
#include <string>

namespace eelgrassdoor::test {

/// Number of failed checks of this program.
inline int failures = 0;

/// Records and prints a failure unless \p condition holds; the test goes on. \p what says what was
/// expected. Not thread-safe.
inline void require(bool condition, const std::string& what) {
    if (!condition) {
        ++failures;
        std::printf("FAILED: %s\n", what.c_str());
    }
}

/// Checks a RapidCheck property with the seed in the environment variable RC_PARAMS and records a
/// failure when it does not hold.
template <typename Property> void property(const std::string& what, Property p) {
    if (!rc::check(what, std::move(p))) {
        ++failures;
    }
}

/// Prints the verdict and returns the exit status of the test program: 0 when every check passed.
inline int finish() {
    std::printf("%s\n", failures == 0 ? "passed" : "failed");
    return failures == 0 ? 0 : 1;
}

} // namespace eelgrassdoor::test
