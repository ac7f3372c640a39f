/// \file
/// Changes of jobs in the store take effect once, whatever answers are lost.
#include "jobs/job_repository.hpp"

#include "check.hpp"
#include "stand_in/memory_store.hpp"

#include <algorithm>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::jobs;
using eelgrassdoor::test::memory_store;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

/// A repository over a store in memory, with a loop to run it on.
struct fixture {
    net::asio::io_context loop{1};
    memory_store memory{loop.get_executor()};
    store::kv_store store = memory.make_store();
    observe::decision_log log{{.host = "test", .descriptor = -1}, steady_clock()};
    job_repository repository{store, steady_clock(), log};

    void run(std::function<net::task<>()> body) {
        net::asio::co_spawn(loop, std::move(body), net::asio::detached);
        loop.run();
        loop.restart();
    }
};

job_state new_job() {
    return {.job = "j", .customer = "c", .owner = "o", .epoch = 1, .items = 40};
}

time_point soon() {
    return steady_clock()() + seconds(20);
}

/// Appends results one by one while answers are lost and repeats are refused.
void check_appends() {
    property("results keep their positions and stand once, whatever answers are lost", [] {
        fixture f;
        const int lost = *rc::gen::inRange(0, 4);
        int commits = 0;
        f.memory.lose_answer = [&](const store::kv_transaction&) { return ++commits % 5 < lost; };
        std::vector<serving::item_result> listed;
        f.run([&]() -> net::task<> {
            const std::vector<std::string> values{"items"};
            std::uint64_t revision = 0;
            const job_state first = new_job();
            const auto created = co_await f.repository.create(first, values, soon(), revision);
            RC_ASSERT(created.has_value());
            std::vector<result_batch> batches{{{first, revision}, {}}};
            for (int i = 0; i < 4; ++i) {
                batches[0].results = {{"item" + std::to_string(i), true, "text"}};
                const auto done = co_await f.repository.append(batches, soon());
                RC_ASSERT(done.has_value() && done.value() == change_outcome::done);
            }
            const auto read = co_await f.repository.read_results("j");
            listed = read.value();
        });
        RC_ASSERT(listed.size() == 4U);
        for (std::size_t i = 0; i < listed.size(); ++i) {
            RC_ASSERT(listed[i].item == "item" + std::to_string(i));
        }
    });
}

void check_races() {
    fixture f;
    f.run([&]() -> net::task<> {
        const std::vector<std::string> values{"items"};
        std::uint64_t revision = 0;
        const job_state first = new_job();
        (void)co_await f.repository.create(first, values, soon(), revision);
        std::uint64_t other = 0;
        const auto again = co_await f.repository.create(first, values, soon(), other);
        require(again.value() == change_outcome::lost_race, "a job is created once");
        job_state claimed = first;
        claimed.owner = "new";
        claimed.epoch = 2;
        std::uint64_t claimed_at = revision;
        const auto claim = co_await f.repository.replace(claimed, claimed_at, soon());
        require(claim.value() == change_outcome::done, "a job gets a new owner");
        std::vector<result_batch> late{{{first, revision}, {{"a", true, "text"}}}};
        const auto lost = co_await f.repository.append(late, soon());
        require(lost.value() == change_outcome::lost_race, "the old owner lists nothing any more");
        const auto ended = co_await f.repository.end("j", "c", soon());
        require(ended.value(), "its customer ends a job");
        const auto foreign = co_await f.repository.end("j", "other", soon());
        require(!foreign.value(), "no other customer does");
    });
}

/// The store executes a change whose answer never came after the next change was sent for the first
/// time: neither may be taken for the other, although both write the same count of results.
void check_late_change() {
    using results = std::vector<serving::item_result>;
    const serving::item_result one{"one", true, "1"};
    const serving::item_result two{"two", true, "2"};
    const serving::item_result three{"three", true, "3"};
    struct sequence {
        const char* what;
        results early_b;
        results late_b;
    };
    const std::vector<sequence> sequences{
        {"a later change with more results of another job", {two}, {two, three}},
        {"a later change with another result at the same position", {two}, {three}}};
    for (const sequence& each : sequences) {
        fixture f;
        const auto commit = f.store.commit;
        std::vector<store::kv_transaction> sent;
        bool hold = false;
        f.store.commit =
            [&](store::kv_transaction change) -> store::kv_store::reply<store::commit_outcome> {
            if (hold) {
                sent.push_back(std::move(change));
                // The first one arrives when the second is on its way for the first time.
                if (sent.size() == 2) {
                    hold = false;
                    const auto executed = co_await commit(sent.front());
                    require(executed.has_value(), "the late change takes effect");
                }
                co_return error{error_code::unavailable, "no answer", run_state::unknown};
            }
            co_return co_await commit(std::move(change));
        };
        f.run([&]() -> net::task<> {
            const std::vector<std::string> values{"items"};
            job_state a = new_job();
            job_state b = new_job();
            b.job = "k";
            std::uint64_t revision_a = 0;
            std::uint64_t revision_b = 0;
            (void)co_await f.repository.create(a, values, soon(), revision_a);
            (void)co_await f.repository.create(b, values, soon(), revision_b);
            hold = true;
            std::vector<result_batch> early{{{a, revision_a}, {one}},
                                            {{b, revision_b}, each.early_b}};
            const auto given_up = co_await f.repository.append(early, steady_clock()());
            require(!given_up && given_up.error().run == run_state::unknown,
                    "a change without an answer has no known outcome");
            std::vector<result_batch> late{{{a, revision_a}, {one}},
                                           {{b, revision_b}, each.late_b}};
            const auto outcome = co_await f.repository.append(late, soon());
            require(outcome && outcome.value() == change_outcome::lost_race,
                    std::string("is not taken for done: ") + each.what);
        });
    }
}

void check_codec() {
    std::vector<serving::submitted_item> items;
    for (int i = 0; i < 30; ++i) {
        serving::submitted_item item{.id = std::to_string(i), .path = "/p", .tokens = 3};
        item.headers.add("Model", "m");
        item.body = std::string(50'000, static_cast<char>('a' + i % 26));
        items.push_back(item);
    }
    const std::vector<std::string> values = encode_items(items);
    std::vector<serving::submitted_item> back;
    for (const std::string& value : values) {
        require(value.size() < 700'000, "no value is too large for the store");
        const auto part = decode_items(value);
        back.insert(back.end(), part->begin(), part->end());
    }
    require(back.size() == items.size() && back[7].body == items[7].body &&
                back[7].headers.get("model") == "m",
            "items come back as they were");
    require(!decode_state("nonsense"), "a malformed record is noticed");
}

void check_pages() {
    std::vector<serving::item_result> results(5, {"i", true, std::string(400'000, 'x')});
    const serving::result_page page = make_page(new_job(), results, 2);
    require(page.total == 40 && page.results.size() == 1 && page.next == 3,
            "a page is bounded, but holds one result at least");
    require(make_page(new_job(), results, 9).results.empty(), "behind the last result is none");
}

} // namespace

int main() {
    check_appends();
    check_races();
    check_late_change();
    check_codec();
    check_pages();
    return eelgrassdoor::test::finish();
}
