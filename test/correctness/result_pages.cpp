/// \file
/// Guards against pages of results that are larger than the reader has memory for, that list
/// nothing, or that differ between the owner of a job and the store.
#include "check.hpp"
#include "jobs/job_call.hpp"
#include "jobs/job_repository.hpp"
#include "jobs/result_size.hpp"
#include "peer/codec.hpp"
#include "stand_in/memory_store.hpp"

#include <cereal/types/string.hpp>

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::jobs;
using eelgrassdoor::test::memory_store;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

/// A job's committed results, in values of a few results each.
struct stored_job {
    stored_job() {
        state = {.job = "j", .customer = "c", .owner = "o", .epoch = 1, .items = 40};
        const auto sizes = *rc::gen::container<std::vector<std::size_t>>(
            40, rc::gen::inRange<std::size_t>(0, 2000));
        std::vector<serving::item_result> part;
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            results.push_back({std::to_string(i), true, std::string(sizes[i], 'x')});
            part.push_back(results.back());
            if (part.size() == 1 + sizes[i] % 4 || i + 1 == sizes.size()) {
                memory.put(results_key("j", i + 1 - part.size()), encode(part));
                part.clear();
            }
        }
    }

    serving::result_page read(std::uint64_t after, std::size_t max_bytes) {
        serving::result_page page;
        const std::function<net::task<>()> body = [&]() -> net::task<> {
            auto got = co_await repository.read_page(state, after, max_bytes);
            RC_ASSERT(got.has_value());
            page = std::move(got.value());
        };
        net::asio::co_spawn(loop, body, net::asio::detached);
        loop.run();
        loop.restart();
        return page;
    }

    net::asio::io_context loop{1};
    memory_store memory{loop.get_executor()};
    store::kv_store store = memory.make_store();
    observe::decision_log log{{.host = "test", .descriptor = -1}, steady_clock()};
    job_repository repository{store, steady_clock(), log};
    job_state state;
    std::vector<serving::item_result> results;
};

std::vector<std::string> names_of(const serving::result_page& page) {
    std::vector<std::string> names;
    for (const serving::item_result& each : page.results) {
        names.push_back(each.item);
    }
    return names;
}

void check_pages() {
    property("pages of any size list every result once, and are the same from the store", [] {
        stored_job job;
        const auto max_bytes = *rc::gen::inRange<std::size_t>(1, 20'000);
        std::uint64_t after = 0;
        while (after < job.results.size()) {
            const serving::result_page page = make_page(job.state, job.results, after, max_bytes);
            RC_ASSERT(!page.results.empty());
            RC_ASSERT(page.next == after + page.results.size());
            std::size_t bytes = value_frame_bytes;
            for (std::size_t i = 0; i < page.results.size(); ++i) {
                RC_ASSERT(page.results[i].item == std::to_string(after + i));
                bytes += listed_size(page.results[i]);
            }
            RC_ASSERT(bytes <= max_bytes || page.results.size() == 1U);
            const serving::result_page stored = job.read(after, max_bytes);
            RC_ASSERT(names_of(stored) == names_of(page));
            RC_ASSERT(stored.next == page.next && stored.total == page.total);
            after = page.next;
        }
        RC_ASSERT(job.read(after, max_bytes).results.empty());
        RC_ASSERT(job.read(after, max_bytes).next == after);
    });
}

/// The call as a daemon of an older build encodes it.
struct older_call {
    job_call call;
    template <typename Archive> void serialize(Archive& ar) {
        ar(call.kind, call.job, call.customer, call.route, call.host, call.body, call.after,
           call.wait_ms, call.item, call.redirected);
    }
};

void check_calls() {
    job_call call{.job = "j", .customer = "c", .after = 7};
    call.max_page_bytes = 1234;
    const std::string bytes = encode(call);
    const auto decoded = decode_call(bytes);
    require(decoded && decoded->after == 7 && decoded->max_page_bytes == 1234,
            "a call names the size of the page");
    const auto by_older = peer::decode<older_call>(bytes);
    require(by_older && by_older->call.after == 7, "an older build reads the call");
    const auto of_older = decode_call(peer::encode(older_call{call}));
    require(of_older && of_older->job == "j" && of_older->max_page_bytes == max_page_bytes,
            "the call of an older build asks for a page of any size");
    require(!decode_call(bytes.substr(0, bytes.size() / 2)), "half a call is malformed");
}

} // namespace

int main() {
    check_pages();
    check_calls();
    return test::finish();
}
