/// \file
/// Guards against texts of batch items that miss an event, have one twice or hold what is no event,
/// whatever the runs of the item send.
#include "base/text.hpp"
#include "check.hpp"
#include "jobs/owned_job.hpp"

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::jobs;
using test::require;

struct run_of_item {
    std::string bytes;
    /// Whether the stream reaches its end; otherwise it breaks off.
    bool ends = true;
};

struct row {
    std::string what;
    std::vector<run_of_item> runs;
    std::string text;
};

const std::vector<row> rows = {
    {"a second run that starts over is skipped up to where the text ends",
     {{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false},
      {"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"}},
     "a\nb\nc"},
    {"a run that begins too late is given up",
     {{"id: 1\ndata: a\n\n", false}, {"id: 3\ndata: c\n\n"}, {"id: 2\ndata: b\n\n"}},
     "a\nb"},
    {"a run that skips an event is given up before it",
     {{"id: 1\ndata: a\n\nid: 3\ndata: c\n\n"}, {"id: 2\ndata: b\n\nid: 3\ndata: c\n\n"}},
     "a\nb\nc"},
    {"a text of events without ids starts over",
     {{"data: a\n\ndata: b\n\n", false}, {"data: a\n\ndata: b\n\ndata: c\n\n"}},
     "a\nb\nc"},
    {"so does one whose latest event has no id",
     {{"id: 1\ndata: a\n\ndata: b\n\n", false},
      {"id: 1\ndata: a\n\ndata: b\n\nid: 2\ndata: c\n\n"}},
     "a\nb\nc"},
    {"a comment between events is no event",
     {{"id: 1\ndata: a\n\n: still here\n\nid: 2\ndata: b\n\n"}},
     "a\nb"},
};

/// Runs the only item of a job until a run ends, and returns its text.
std::string run_item(const std::vector<run_of_item>& runs) {
    versioned_state record;
    record.state.items = 1;
    owned_job job(record, {{.id = "item"}}, {}, time_point{});
    for (const run_of_item& each : runs) {
        job.mark_running(0, "v1", time_point{});
        serving::event_stream_parser parser;
        const bool in_order = job.add_events(0, parser.feed(each.bytes), time_point{});
        job.finish_run(
            0, in_order && each.ends ? item_outcome::complete : item_outcome::interrupted, 1);
    }
    return job.uncommitted().empty() ? "(no result)" : job.uncommitted().front().output;
}

} // namespace

int main() {
    for (const row& each : rows) {
        const std::string text = run_item(each.runs);
        require(text == each.text, str_cat(each.what, "; got \"", text, "\""));
    }
    return test::finish();
}
