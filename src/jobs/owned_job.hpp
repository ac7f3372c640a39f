/// \file
/// Defines what the owner of a batch job decides about its items. Pure: no I/O.
#pragma once

#include "jobs/job_repository.hpp"
#include "serving/event_stream_parser.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassdoor::jobs {

/// How a run of an item ended.
enum class item_outcome {
    /// Its stream is complete.
    complete,
    /// The target says that it can never be done.
    impossible,
    /// The target failed while it ran the item.
    failed,
    /// It was not run, was broken off or made room for online work: it goes on elsewhere.
    interrupted,
};

/// What has become of the last change of a job's record that this daemon has sent.
enum class change_state {
    settled,
    /// Sent, not answered.
    under_way,
    /// It may have taken effect, or may still do so.
    unknown,
};

/// One item of a job that this daemon owns.
struct owned_item {
    serving::submitted_item content;
    bool running = false;
    bool done = false;
    int failures = 0;
    /// What its runs have made so far: the next run goes on behind it.
    std::optional<std::uint64_t> last_event;
    std::string output;
    std::size_t events = 0;
    /// The target of the latest run that failed by itself; another one is tried next.
    std::string last_failed_target;
};

/// A job that this daemon owns: which items wait, run or are done, and which results wait for
/// their commit.
class owned_job {
public:
    owned_job(versioned_state record, std::vector<serving::submitted_item> items,
              std::vector<serving::listed_result> listed, time_point due);

    /// The next item to run, or none now.
    [[nodiscard]] std::optional<std::size_t> next() const;
    void note_started(std::size_t index) { m_items[index].running = true; }
    /// Takes in events of a run; those that the item has already are passed over. False when an
    /// event is missing before one of them: the run must be broken off.
    bool add_events(std::size_t index, const std::vector<serving::stream_event>& events);
    /// Takes in how a run ended. \p max_attempts failures end an item.
    void note_ended(std::size_t index, item_outcome outcome, int max_attempts);
    /// The item is rather not run at \p target next.
    void note_failed_target(std::size_t index, std::string_view target) {
        m_items[index].last_failed_target = target;
    }
    /// Gives up every item that is not done and does not run.
    void give_up_waiting();

    /// Results that wait for their commit, in the order in which they will be listed.
    [[nodiscard]] const std::vector<serving::listed_result>& uncommitted() const {
        return m_uncommitted;
    }
    /// The first \p count of them are committed by the change that led to \p record.
    void note_committed(std::size_t count, versioned_state record);
    /// Takes in what the store has: \p record and the results listed by it. False when this is not
    /// what is known here followed by results that wait for their commit; then nothing is changed.
    bool note_stored(versioned_state record, const std::vector<serving::listed_result>& stored);
    [[nodiscard]] change_state last_change() const { return m_last_change; }
    void note_change(change_state state) { m_last_change = state; }

    [[nodiscard]] const versioned_state& record() const { return m_record; }
    versioned_state& record() { return m_record; }
    [[nodiscard]] const std::vector<serving::listed_result>& listed() const { return m_listed; }
    [[nodiscard]] const owned_item& item(std::size_t index) const { return m_items[index]; }
    [[nodiscard]] const std::vector<owned_item>& items() const { return m_items; }
    [[nodiscard]] const owned_item* find(std::string_view id) const;
    [[nodiscard]] time_point due() const { return m_due; }
    /// The store has confirmed under this registration that the job is this daemon's, and that
    /// record() is its latest record.
    void confirm(std::uint64_t registration);
    /// Whether no caller can have read more results than listed() has. \p registration is the
    /// number of the registration that this daemon has now, or none while it has none. Others read
    /// from the store: when they took the job over during a gap between two registrations, or when
    /// they cannot reach this daemon while a commit has no known outcome.
    [[nodiscard]] bool is_certain(std::optional<std::uint64_t> registration) const;
    /// Tokens of the items that are not done.
    [[nodiscard]] std::uint64_t waiting_tokens() const;
    /// Whether nothing is left to run or to commit.
    [[nodiscard]] bool finished() const;

private:
    void add_result(std::size_t index, bool complete);

    versioned_state m_record;
    std::vector<owned_item> m_items;
    std::vector<serving::listed_result> m_listed;
    std::vector<serving::listed_result> m_uncommitted;
    time_point m_due;
    std::uint64_t m_confirmed_in = 0;
    change_state m_last_change = change_state::settled;
};

} // namespace eelgrassdoor::jobs
