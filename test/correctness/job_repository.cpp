/// \file
/// Tests that changes of jobs in the store take effect once, even when responses are lost.
#include "jobs/job_repository.hpp"

#include "check.hpp"
#include "net/notification.hpp"
#include "stand_in/memory_store.hpp"

#include <algorithm>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::jobs;
using eelgrassdoor::test::memory_store;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

/// A repository on an in-memory store, with an event loop.
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

time_point deadline() {
    return steady_clock()() + seconds(20);
}

/// Appends results one by one while responses to commits are lost, so that retries conflict.
void check_appends() {
    property("each result is stored once, at its position, when responses are lost", [] {
        fixture f;
        const int lost = *rc::gen::inRange(0, 4);
        int commits = 0;
        f.memory.lose_response = [&](const store::kv_transaction&) { return ++commits % 5 < lost; };
        std::vector<serving::item_result> committed_results;
        f.run([&]() -> net::task<> {
            const std::vector<std::string> values{"items"};
            std::uint64_t revision = 0;
            const job_state first = new_job();
            const auto created = co_await f.repository.create(first, values, deadline(), revision);
            RC_ASSERT(created.has_value());
            std::vector<result_batch> batches{{{first, revision}, {}}};
            for (int i = 0; i < 4; ++i) {
                batches[0].results = {{"item" + std::to_string(i), true, "text"}};
                const auto done = co_await f.repository.append(batches, deadline());
                RC_ASSERT(done.has_value() && done.value() == change_outcome::done);
            }
            const auto read = co_await f.repository.read_results("j");
            committed_results = read.value();
        });
        RC_ASSERT(committed_results.size() == 4U);
        for (std::size_t i = 0; i < committed_results.size(); ++i) {
            RC_ASSERT(committed_results[i].item == "item" + std::to_string(i));
        }
    });
}

void check_conflicts() {
    fixture f;
    f.run([&]() -> net::task<> {
        const std::vector<std::string> values{"items"};
        std::uint64_t revision = 0;
        const job_state first = new_job();
        (void)co_await f.repository.create(first, values, deadline(), revision);
        std::uint64_t other = 0;
        const auto again = co_await f.repository.create(first, values, deadline(), other);
        require(again.value() == change_outcome::conflict,
                "creating an existing job is a conflict");
        job_state claimed = first;
        claimed.owner = "new";
        claimed.epoch = 2;
        std::uint64_t claimed_revision = revision;
        const auto claim = co_await f.repository.replace(claimed, claimed_revision, deadline());
        require(claim.value() == change_outcome::done,
                "replacing the owner in an unchanged record succeeds");
        std::vector<result_batch> late{{{first, revision}, {{"a", true, "text"}}}};
        const auto lost = co_await f.repository.append(late, deadline());
        require(lost.value() == change_outcome::conflict,
                "an append by the previous owner is a conflict");
        const auto cancelled = co_await f.repository.cancel("j", "c", deadline());
        require(cancelled.value(), "a customer can cancel its own job");
        const auto foreign = co_await f.repository.cancel("j", "other", deadline());
        require(!foreign.value(), "another customer cannot cancel the job");
    });
}

/// A change whose response was lost is executed only after the first attempt of the next change was
/// sent. Both write the same number of results; the second must not be mistaken for the first and
/// reported as done.
void check_delayed_commit() {
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
                // The first change is executed during the first attempt of the second.
                if (sent.size() == 2) {
                    hold = false;
                    const auto executed = co_await commit(sent.front());
                    require(executed.has_value(), "the store executes the delayed first change");
                }
                co_return error{error_code::unavailable, "response lost", run_state::unknown};
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
            (void)co_await f.repository.create(a, values, deadline(), revision_a);
            (void)co_await f.repository.create(b, values, deadline(), revision_b);
            hold = true;
            std::vector<result_batch> early{{{a, revision_a}, {one}},
                                            {{b, revision_b}, each.early_b}};
            const auto given_up = co_await f.repository.append(early, steady_clock()());
            require(!given_up && given_up.error().run == run_state::unknown,
                    "a change whose response was lost has an unknown outcome");
            std::vector<result_batch> late{{{a, revision_a}, {one}},
                                           {{b, revision_b}, each.late_b}};
            const auto outcome = co_await f.repository.append(late, deadline());
            require(outcome && outcome.value() == change_outcome::conflict,
                    std::string("a conflict is reported for ") + each.what);
        });
    }
}

/// Creations of "j" that the store carries out when the test says so.
struct late_creations {
    explicit late_creations(fixture& of) {
        of.memory.postpone = [this](const store::kv_transaction& change) {
            return is_late && change.writes.front().key == state_key("j");
        };
    }
    bool is_late = true;
};

net::task<result<change_outcome>> create(fixture& f, time_point until) {
    const std::vector<std::string> values{"items"};
    std::uint64_t revision = 0;
    const job_state first = new_job();
    co_return co_await f.repository.create(first, values, until, revision);
}

void check_refusals() {
    fixture f;
    late_creations late(f);
    f.run([&]() -> net::task<> {
        const auto unknown = co_await create(f, steady_clock()());
        require(!unknown && unknown.error().run == run_state::unknown,
                "a creation that the store does not answer has an unknown outcome");
        const std::string job = "j";
        const auto refused = co_await f.repository.refuse(job, deadline());
        require(refused && refused.value() == change_outcome::done, "the job is refused");
        late.is_late = false;
        while (f.memory.postponed_transactions() > 0) {
            net::notification step(f.loop.get_executor());
            co_await step.wait_until(steady_clock()() + milliseconds(1));
        }
        const auto read = co_await f.repository.read(job);
        require(read && !read.value(), "a late creation does not take effect after a refusal");
        const auto created = co_await create(f, deadline());
        require(created && created.value() == change_outcome::done,
                "a creation that begins after the refusal succeeds");
        const auto again = co_await f.repository.refuse(job, deadline());
        require(again && again.value() == change_outcome::conflict,
                "a job that exists is not refused");
    });
}

/// A daemon that has not seen the refusal cannot tell that it is older than its own attempt.
void check_unseen_refusal() {
    fixture f;
    job_repository other(f.store, steady_clock(), f.log);
    f.run([&]() -> net::task<> {
        const std::string job = "j";
        const auto refused = co_await other.refuse(job, deadline());
        require(refused && refused.value() == change_outcome::done, "another daemon refuses");
        const auto first = co_await create(f, deadline());
        require(!first && first.error().run == run_state::not_run,
                "a creation does not go past a refusal that may be newer");
        const auto second = co_await create(f, deadline());
        require(second && second.value() == change_outcome::done,
                "the next one knows that the refusal is older");
    });
}

void check_refused_changes() {
    fixture f;
    f.memory.max_value_bytes = 1000;
    f.run([&]() -> net::task<> {
        const std::vector<std::string> values{std::string(2000, 'x')};
        std::uint64_t revision = 0;
        const job_state first = new_job();
        const time_point before = steady_clock()();
        const auto refused = co_await f.repository.create(first, values, deadline(), revision);
        require(!refused && is_refused_for_good(refused.error()) &&
                    steady_clock()() < before + seconds(10),
                "a change that the store refuses for good is not retried until its deadline");
    });
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
        require(value.size() < 700'000, "each encoded value is below 700 kB");
        const auto part = decode_items(value);
        back.insert(back.end(), part->begin(), part->end());
    }
    require(back.size() == items.size() && back[7].body == items[7].body &&
                back[7].headers.get("model") == "m",
            "decoded items equal the encoded ones");
    require(!decode_state("nonsense"), "decoding a malformed record fails");
}

void check_pages() {
    std::vector<serving::item_result> results(5, {"i", true, std::string(400'000, 'x')});
    const serving::result_page page = make_page(new_job(), results, 2);
    require(page.total == 40 && page.results.size() == 1 && page.next == 3,
            "a page holds one result of 400 kB out of five, and points to the next");
    require(make_page(new_job(), results, 9).results.empty(),
            "a page after the last result is empty");
}

} // namespace

int main() {
    check_appends();
    check_conflicts();
    check_delayed_commit();
    check_refusals();
    check_unseen_refusal();
    check_refused_changes();
    check_codec();
    check_pages();
    return eelgrassdoor::test::finish();
}
