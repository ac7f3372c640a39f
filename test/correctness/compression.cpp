/// \file
/// Tests that compressed bytes come back unchanged and that malformed or oversized ones are
/// rejected.
#include "base/compression.hpp"

#include "check.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

void check_round_trip() {
    property("decompress() returns what compress() was given", [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        std::string repeated;
        for (int i = 0; i < *rc::gen::inRange(0, 200); ++i) {
            repeated += bytes;
        }
        const std::string packed = compress(repeated);
        RC_ASSERT(decompress(packed, repeated.size() + 1) == repeated);
    });
}

void check_malformed() {
    const std::string packed = compress(std::string(100'000, 'x'));
    require(!decompress(packed, 99'999), "a result over the limit is rejected");
    require(decompress(packed, 100'000).has_value(), "a result at the limit is returned");
    require(!decompress(packed.substr(0, packed.size() / 2), 1'000'000),
            "truncated bytes are rejected");
    require(!decompress("no compressed bytes", 1'000'000), "malformed bytes are rejected");
    require(!decompress("", 1'000'000), "no bytes are rejected");
}

} // namespace

int main() {
    check_round_trip();
    check_malformed();
    return eelgrassdoor::test::finish();
}
