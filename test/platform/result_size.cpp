/// \file
/// Guards against results and items that are longer, stored or listed, than they were taken for.
#include "jobs/result_size.hpp"

#include "caller_interface.hpp"
#include "check.hpp"
#include "jobs/job_repository.hpp"
#include "jobs/owned_job.hpp"

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::jobs;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

std::string any_bytes() {
    return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

void check_bounds() {
    const serving::protocol_codec codec = platform_adapter::make_protocol_codec();
    property("no result is longer, listed or stored, than its bound", [&] {
        const serving::item_result result{any_bytes(), true, any_bytes()};
        const serving::result_page page{1, 1, {result}};
        RC_ASSERT(codec.encode_results(page).body.size() <=
                  value_frame_bytes + listed_size(result));
        RC_ASSERT(encode(std::vector{result}).size() <= value_frame_bytes + stored_size(result));
    });
    property("no item is longer than its bound", [] {
        serving::submitted_item item{.id = any_bytes(), .path = any_bytes(), .body = any_bytes()};
        item.headers.add("Model", any_bytes());
        const std::vector<std::string> values = encode_items({item});
        RC_ASSERT(values.size() == 1U);
        RC_ASSERT(values[0].size() <= value_frame_bytes + stored_size(item));
    });
}

/// Headers and paths count as bodies do.
void check_values_of_items() {
    std::vector<serving::submitted_item> items;
    for (int i = 0; i < 20; ++i) {
        serving::submitted_item item{.id = std::to_string(i), .path = std::string(100'000, 'p')};
        item.headers.add("Model", std::string(100'000, 'm'));
        items.push_back(std::move(item));
    }
    for (const std::string& value : encode_items(items)) {
        require(value.size() <= 400 * 1024, "each value of items stays within its limit");
    }
}

void check_pages() {
    const serving::protocol_codec codec = platform_adapter::make_protocol_codec();
    const std::vector<serving::item_result> results(8, {"i", true, std::string(100'000, '\x01')});
    const job_state state{.job = "j", .items = 8};
    const serving::result_page page = make_page(state, results, 0);
    require(page.results.size() == 1, "a page of control characters holds one result, not seven");
    require(codec.encode_results(page).body.size() <= max_response_bytes,
            "a page stays within the limit of a response");
}

/// Adds events of 1000 such bytes until the output is too long. Returns whether the result before
/// the last event fits a response and a value of \p max_value_bytes.
bool fits_until_too_long(char byte, std::size_t max_value_bytes) {
    versioned_state record;
    record.state.items = 1;
    owned_job job(record, {{.id = "item"}}, {}, time_point{}, max_value_bytes);
    job.mark_running(0, "v1", time_point{});
    serving::item_result before{"item", true, {}};
    for (std::uint64_t id = 1; !job.is_output_too_long(0); ++id) {
        before.output = job.item(0).output;
        (void)job.add_events(0, {{"", id, std::string(1000, byte)}}, time_point{});
    }
    const serving::protocol_codec codec = platform_adapter::make_protocol_codec();
    return !before.output.empty() &&
           codec.encode_results({1, 1, {before}}).body.size() <= max_response_bytes &&
           encode(std::vector{before}).size() <= max_value_bytes;
}

void check_outputs() {
    require(fits_until_too_long('x', default_max_value_bytes), "an output of letters fits");
    require(fits_until_too_long('\x01', default_max_value_bytes),
            "an output of control characters fits");
    require(fits_until_too_long('x', 64 * 1024), "an output fits a store of short values");
}

void check_withdrawn_result() {
    versioned_state record;
    record.state.items = 2;
    owned_job job(record, {{.id = "a"}, {.id = "b"}}, {}, time_point{});
    job.mark_running(0, "v1", time_point{});
    (void)job.add_events(0, {{"", 1, "text"}}, time_point{});
    job.finish_run(0, item_outcome::complete, 1);
    job.mark_running(1, "v1", time_point{});
    job.finish_run(1, item_outcome::rejected, 1);
    require(job.withdraw_result() && job.next() == 0U && job.item(0).output.empty(),
            "an item whose result is withdrawn runs again from the start");
    require(job.uncommitted().size() == 1 && !job.withdraw_result(),
            "the result of an item that was given up is not withdrawn");
}

} // namespace

int main() {
    check_bounds();
    check_values_of_items();
    check_pages();
    check_outputs();
    check_withdrawn_result();
    return eelgrassdoor::test::finish();
}
