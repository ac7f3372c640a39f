/// \file
/// The items of an owned job: every item ends in one result, whatever its runs do.
#include "check.hpp"
#include "jobs/owned_job.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::jobs;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;
using serving::event_splitter;
using serving::stream_event;

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

void check_splitter() {
    property("a stream in pieces gives the same events", [] {
        const std::string text =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\nid: 3\ndata:";
        event_splitter splitter;
        std::vector<stream_event> got;
        for (std::size_t at = 0; at < text.size();) {
            const auto step = *rc::gen::inRange<std::size_t>(1, 9);
            for (stream_event& event : splitter.feed(text.substr(at, step))) {
                got.push_back(std::move(event));
            }
            at += step;
        }
        RC_ASSERT(got.size() == 2U);
        RC_ASSERT(got[0].id == 1U);
        RC_ASSERT(got[0].data == "a");
        RC_ASSERT(got[1].data == "b\nc");
        RC_ASSERT(splitter.rest() == "id: 3\ndata:");
    });
}

void check_resume() {
    owned_job job = make_job(1);
    job.note_started(0);
    require(job.add_events(0, events(1, 3)), "events in order are taken in");
    job.note_ended(0, item_outcome::interrupted, 3);
    require(job.next() == 0U && job.item(0).last_event == 3U, "an interrupted item goes on");
    job.note_started(0);
    require(job.add_events(0, events(3, 5)), "a repeated event is passed over");
    require(!job.add_events(0, events(7, 7)), "a missing event is noticed");
    job.note_ended(0, item_outcome::complete, 3);
    require(job.uncommitted().front().output == "e1\ne2\ne3\ne4\ne5", "each event stands once");
}

void check_failures() {
    owned_job job = make_job(2);
    for (int attempt = 1; attempt <= 3; ++attempt) {
        require(job.uncommitted().empty(), "an item is not given up before its last attempt");
        job.note_started(0);
        job.note_ended(0, item_outcome::failed, 3);
    }
    require(job.uncommitted().size() == 1 && !job.uncommitted().front().complete,
            "it is given up after as many failures as the route allows");
    job.note_started(1);
    job.note_ended(1, item_outcome::impossible, 3);
    require(job.uncommitted().size() == 2 && !job.next(), "an impossible item is given up at once");
}

void check_one_result_each() {
    property("every item ends in one result", [] {
        owned_job job = make_job(5);
        for (int step = 0; step < 400 && job.next(); ++step) {
            const std::size_t index = *job.next();
            job.note_started(index);
            const auto outcome = static_cast<item_outcome>(*rc::gen::inRange(0, 4));
            job.note_ended(index, outcome, 3);
            if (*rc::gen::inRange(0, 5) == 0) {
                job.give_up_waiting();
            }
        }
        job.give_up_waiting();
        std::set<std::string> named;
        for (const serving::listed_result& each : job.uncommitted()) {
            RC_ASSERT(named.insert(each.item).second);
        }
        RC_ASSERT(named.size() == 5U);
        RC_ASSERT(job.waiting_tokens() == 0U);
    });
}

void check_takeover() {
    versioned_state record;
    record.state.items = 2;
    record.state.listed = 1;
    owned_job job(record, {{.id = "a"}, {.id = "b"}}, {{"b", true, "text"}}, time_point{});
    require(job.next() == 0U, "a new owner runs only what is not listed");
    job.note_started(0);
    job.note_ended(0, item_outcome::complete, 1);
    record.state.listed = 2;
    job.note_committed(1, record);
    require(job.finished() && job.listed().back().item == "a", "positions are kept");
}

void check_certainty() {
    owned_job job = make_job(2);
    job.confirm(1);
    require(job.is_certain(1), "a confirmed job is certain");
    require(!job.is_certain(std::nullopt), "but not while this daemon may have been replaced");
    require(!job.is_certain(2), "nor under a later registration until the store confirms it");
    job.confirm(2);
    require(job.is_certain(2), "which makes it certain again");
    for (const change_state state : {change_state::under_way, change_state::unknown}) {
        job.note_change(state);
        require(!job.is_certain(2), "others may see a change that has no known outcome");
    }
    job.note_started(0);
    job.note_ended(0, item_outcome::impossible, 3);
    versioned_state record = job.record();
    record.state.listed = 1;
    job.note_committed(1, record);
    require(job.is_certain(2), "a change that took effect is certain");
    job.note_started(1);
    job.note_ended(1, item_outcome::impossible, 3);
    record.state.listed = 2;
    job.note_committed(1, record);
    require(job.is_certain(std::nullopt), "nothing can follow the last result");
}

void check_stored_results() {
    owned_job job = make_job(3);
    for (std::size_t i = 0; i < 2; ++i) {
        job.note_started(i);
        job.note_ended(i, item_outcome::impossible, 3);
    }
    job.note_change(change_state::unknown);
    versioned_state record = job.record();
    record.state.listed = 1;
    require(!job.note_stored(record, {{"1", false, ""}}), "results in another order do not match");
    require(!job.note_stored(record, {{"0", true, ""}}), "nor do others for the same item");
    require(job.uncommitted().size() == 2, "and change nothing");
    require(job.note_stored(record, {{"0", false, ""}}), "the first waiting result matches");
    require(job.listed().size() == 1 && job.uncommitted().size() == 1, "and is listed then");
    require(!job.note_stored(record, {}), "listed results never go back");
}

} // namespace

int main() {
    check_splitter();
    check_resume();
    check_failures();
    check_one_result_each();
    check_takeover();
    check_certainty();
    check_stored_results();
    return eelgrassdoor::test::finish();
}
