/// \file
/// Guards against ends of connections that are put down to the wrong cause.
#include "serving/connection_ends.hpp"

#include "check.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;
using serving::connection_ends;

const time_point start = time_point() + seconds(100);

void check_nothing_else() {
    connection_ends ends;
    require(!ends.explain_end("a", start), "nothing else has ended");
}

void check_same_target() {
    connection_ends ends;
    ends.record("a", start);
    require(ends.explain_end("a", start), "another connection to the target has ended");
    require(!ends.explain_end("b", start), "a connection to one other target has ended");
    require(!ends.explain_end("a", start + milliseconds(1)), "a connection had ended before");
}

void check_other_targets() {
    connection_ends ends;
    ends.record("a", start);
    ends.record("a", start);
    require(!ends.explain_end("c", start), "two connections to one other target have ended");
    ends.record("b", start);
    require(ends.explain_end("c", start), "connections to two other targets have ended");
    require(!ends.explain_end("c", start + milliseconds(1)), "they had ended before");
}

void check_many() {
    connection_ends ends;
    for (int i = 0; i < 10000; ++i) {
        ends.record("a", start + milliseconds(i));
    }
    require(ends.explain_end("a", start + milliseconds(9999)), "the latest end is kept");
}

} // namespace

int main() {
    check_nothing_else();
    check_same_target();
    check_other_targets();
    check_many();
    return finish();
}
