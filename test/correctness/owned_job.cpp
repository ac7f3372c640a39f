/// \file
/// Tests the states of an owned job's items, its results and when they are authoritative.
#include "jobs/owned_job.hpp"

#include "check.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::jobs;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;
using serving::event_stream_parser;
using serving::stream_event;

constexpr time_point start{};

owned_job make_job(int items) {
    versioned_state record;
    record.state.job = "j";
    record.state.items = static_cast<std::uint64_t>(items);
    std::vector<serving::submitted_item> contents;
    for (int i = 0; i < items; ++i) {
        contents.push_back({.id = std::to_string(i), .tokens = 10});
    }
    return {record, contents, {}, time_point{}};
}

std::vector<stream_event> events(std::uint64_t from, std::uint64_t to) {
    std::vector<stream_event> out;
    for (std::uint64_t id = from; id <= to; ++id) {
        out.push_back({"", id, "e" + std::to_string(id)});
    }
    return out;
}

void check_event_parser() {
    property("a stream split at any place yields the same events", [] {
        const std::string text =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\nid: 3\ndata:";
        event_stream_parser parser;
        std::vector<stream_event> got;
        for (std::size_t at = 0; at < text.size();) {
            const auto step = *rc::gen::inRange<std::size_t>(1, 9);
            for (stream_event& event : parser.feed(text.substr(at, step))) {
                got.push_back(std::move(event));
            }
            at += step;
        }
        RC_ASSERT(got.size() == 2U);
        RC_ASSERT(got[0].id == 1U);
        RC_ASSERT(got[0].data == "a");
        RC_ASSERT(got[1].data == "b\nc");
        RC_ASSERT(parser.partial_event() == "id: 3\ndata:");
    });
}

void check_resume() {
    owned_job job = make_job(1);
    job.mark_running(0, "v1", start);
    require(job.add_events(0, events(1, 3), start), "events in sequence are accepted");
    job.finish_run(0, item_outcome::interrupted, 3);
    require(job.next() == 0U && job.item(0).last_event == 3U,
            "an interrupted item is resumed after its last event");
    job.mark_running(0, "v1", start);
    require(job.add_events(0, events(3, 5), start), "a repeated event is skipped");
    require(!job.add_events(0, events(7, 7), start), "a gap in the event ids is rejected");
    job.finish_run(0, item_outcome::complete, 3);
    require(job.uncommitted().front().output == "e1\ne2\ne3\ne4\ne5",
            "the output has each event once");
}

void check_failures() {
    owned_job job = make_job(2);
    for (int attempt = 1; attempt <= 3; ++attempt) {
        require(job.uncommitted().empty(), "an item is not given up before its last attempt");
        job.mark_running(0, "v1", start);
        job.finish_run(0, item_outcome::failed, 3);
    }
    require(job.uncommitted().size() == 1 && !job.uncommitted().front().complete,
            "an item is given up as incomplete after three failed runs");
    job.mark_running(1, "v1", start);
    job.finish_run(1, item_outcome::rejected, 3);
    require(job.uncommitted().size() == 2 && !job.next(),
            "a rejected item is given up after one run");
}

void check_one_result_each() {
    property("every item gets exactly one result", [] {
        owned_job job = make_job(5);
        for (int step = 0; step < 400 && job.next(); ++step) {
            const std::size_t index = *job.next();
            job.mark_running(index, "v1", start);
            const auto outcome = static_cast<item_outcome>(*rc::gen::inRange(0, 4));
            job.finish_run(index, outcome, 3);
            if (*rc::gen::inRange(0, 5) == 0) {
                job.fail_pending_items();
            }
        }
        job.fail_pending_items();
        std::set<std::string> item_ids;
        for (const serving::item_result& each : job.uncommitted()) {
            RC_ASSERT(item_ids.insert(each.item).second);
        }
        RC_ASSERT(item_ids.size() == 5U);
        RC_ASSERT(job.waiting_tokens() == 0U);
    });
}

void check_adopted_job() {
    versioned_state record;
    record.state.items = 2;
    record.state.committed_count = 1;
    owned_job job(record, {{.id = "a"}, {.id = "b"}}, {{"b", true, "text"}}, time_point{});
    require(job.next() == 0U, "a new owner runs only the item without a committed result");
    job.mark_running(0, "v1", start);
    job.finish_run(0, item_outcome::complete, 1);
    record.state.committed_count = 2;
    job.mark_committed(1, record);
    require(job.finished() && job.committed_results().back().item == "a",
            "a new result is committed after the earlier ones, and the job is finished");
}

void check_authoritative() {
    owned_job job = make_job(2);
    job.confirm(1);
    require(job.is_authoritative(1),
            "a job is authoritative under the registration that confirmed it");
    require(!job.is_authoritative(std::nullopt),
            "a job is not authoritative while the registration may have expired");
    require(!job.is_authoritative(2),
            "a job is not authoritative under a later registration before it is confirmed");
    job.confirm(2);
    require(job.is_authoritative(2),
            "a job is authoritative after it is confirmed under a later registration");
    for (const change_state state : {change_state::in_flight, change_state::unknown}) {
        job.set_last_change(state);
        require(!job.is_authoritative(2),
                "a job is not authoritative during a change without a known outcome");
    }
    job.mark_running(0, "v1", start);
    job.finish_run(0, item_outcome::rejected, 3);
    versioned_state record = job.record();
    record.state.committed_count = 1;
    job.mark_committed(1, record);
    require(job.is_authoritative(2), "a job is authoritative after its change is committed");
    job.mark_running(1, "v1", start);
    job.finish_run(1, item_outcome::rejected, 3);
    record.state.committed_count = 2;
    job.mark_committed(1, record);
    require(job.is_authoritative(std::nullopt),
            "a job with all results committed is authoritative without a registration");
}

void check_stored_results() {
    owned_job job = make_job(3);
    for (std::size_t i = 0; i < 2; ++i) {
        job.mark_running(i, "v1", start);
        job.finish_run(i, item_outcome::rejected, 3);
    }
    job.set_last_change(change_state::unknown);
    versioned_state record = job.record();
    record.state.committed_count = 1;
    require(!job.merge_stored(record, {{"1", false, ""}}),
            "a stored result of another item than the first uncommitted one is rejected");
    require(!job.merge_stored(record, {{"0", true, ""}}),
            "a stored result that differs for the same item is rejected");
    require(job.uncommitted().size() == 2,
            "rejected results leave the uncommitted ones as they were");
    require(job.merge_stored(record, {{"0", false, ""}}),
            "a stored result equal to the first uncommitted one is accepted");
    require(job.committed_results().size() == 1 && job.uncommitted().size() == 1,
            "the accepted result is committed, the other stays uncommitted");
    require(!job.merge_stored(record, {}), "fewer stored results than committed ones are rejected");
}

/// Guards against a cancelled job that goes on because an older record replaces the marked one.
void check_cancellation_is_final() {
    owned_job job = make_job(3);
    const versioned_state older = job.record();
    job.mark_running(0, "v1", start);
    job.finish_run(0, item_outcome::rejected, 3);
    job.mark_cancelled();
    versioned_state committed = older;
    committed.state.committed_count = 1;
    committed.revision = 7;
    job.mark_committed(1, committed);
    require(job.record().revision == 7 && job.record().state.cancelled && !job.next(),
            "a commit from before the cancellation does not revert it");
    job.update_record(older);
    require(job.record().state.cancelled && !job.next() && job.waiting_tokens() == 0,
            "a record from before the cancellation does not revert it");
}

} // namespace

int main() {
    check_event_parser();
    check_resume();
    check_failures();
    check_one_result_each();
    check_adopted_job();
    check_authoritative();
    check_stored_results();
    check_cancellation_is_final();
    return eelgrassdoor::test::finish();
}
