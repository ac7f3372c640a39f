/// \file
/// Defines the state of a batch job and its items at the job's owner. Pure: no I/O.
#pragma once

#include "jobs/job_repository.hpp"
#include "routing/fleet_target.hpp"
#include "serving/event_stream_parser.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassdoor::jobs {

/// Longest value that a key-value service takes unless it says otherwise, in bytes.
inline constexpr std::size_t default_max_value_bytes = 1024UL * 1024;

/// Outcome of one run of an item.
enum class item_outcome {
    /// The target's stream was received completely.
    complete,
    /// The target rejected the item for good; no target can run it.
    rejected,
    /// The target failed while running the item; counts as an attempt.
    failed,
    /// The item was not run, the stream broke off or the run was preempted. Does not count as an
    /// attempt; the item is resumed later.
    interrupted,
};

/// State of the last change of a job's record that this daemon has sent.
enum class change_state {
    /// The outcome is known.
    settled,
    /// Sent, but the store has not responded yet.
    in_flight,
    /// The change may have taken effect or may still do so.
    unknown,
};

/// One item of a job that this daemon owns.
struct owned_item {
    serving::submitted_item content;
    bool running = false;
    bool done = false;
    /// Number of runs that ended as item_outcome::failed.
    int failures = 0;
    /// Progress over all runs: id of the last event, concatenated event data separated by newlines,
    /// and number of events. The next run resumes after it.
    std::optional<std::uint64_t> last_event;
    std::string output;
    /// Upper bound of the bytes that the output takes in a response that lists it.
    std::size_t listed_bytes = 0;
    std::size_t events = 0;
    /// Whether an event of the text has no id, so that no run can resume the text.
    bool has_unnumbered_event = false;
    /// Id of the event after which a run without framing ended, as if the text were complete.
    std::optional<std::uint64_t> closed_after;
    /// Number of runs since then that were to bring what follows, and were not run.
    int refused_rests = 0;
    /// Software version of the target of the latest run, or routing::unknown_version. All events of
    /// the text are of this version.
    std::string version;
    /// Time that targets have spent on the text, from the start of each run to its last event.
    duration text_time{};
    /// Time that the text has waited for targets of its version, up to the latest run with events.
    duration waited{};
    /// Since when the text has waited for a target of its version, or for the next event of one;
    /// nothing while it is written.
    std::optional<time_point> waiting_since;
    time_point run_started{};
    /// When the latest run started or brought its latest event.
    time_point last_progress{};
    /// Target of the latest run that failed or broke off without being preempted; the next run is
    /// offered to other targets first.
    std::string last_failed_target;

    [[nodiscard]] bool has_text() const { return events > 0; }
    /// Whether another run can go on with the text.
    [[nodiscard]] bool can_go_on() const {
        return last_event && version != routing::unknown_version && !has_unnumbered_event;
    }
    /// Whether a run without framing has ended after the last event.
    [[nodiscard]] bool has_closed_after_last_event() const {
        return last_event && closed_after == last_event;
    }
    /// Whether the text has waited for as long as targets have spent on it, so that waiting on
    /// would cost more than starting over.
    [[nodiscard]] bool may_start_over(time_point now) const;
    /// Records that the current run has brought an event, which ends a wait at the start of the
    /// run.
    void record_progress(time_point now);
};

/// A job that this daemon owns: the states of its items, the committed results and those that still
/// have to be committed. Not thread-safe.
class owned_job {
public:
    /// \p max_value_bytes is the longest value that the store takes.
    owned_job(versioned_state record, std::vector<serving::submitted_item> items,
              std::vector<serving::item_result> committed_results, time_point due,
              std::size_t max_value_bytes = default_max_value_bytes);

    /// Index of the next item to run, or none if no item is pending or the job is cancelled. Items
    /// for which \p is_held returns true are passed over; unset stands for none.
    [[nodiscard]] std::optional<std::size_t>
    next(const std::function<bool(const owned_item&)>& is_held = nullptr) const;
    /// Starts a run at a target of this software version. The item's progress is discarded when it
    /// is of another version, as what two versions write does not fit together, or cannot be
    /// resumed.
    void mark_running(std::size_t index, std::string_view version, time_point now);
    /// Records the software version of the process that runs the item; nothing when it is not
    /// known, and no other run goes on with the text then.
    void set_version(std::size_t index, const std::optional<std::string>& version) {
        m_items[index].version = version.value_or(std::string(routing::unknown_version));
    }
    /// Records that a run without framing has ended after the item's last event.
    void set_closed(std::size_t index) {
        m_items[index].closed_after = m_items[index].last_event;
        m_items[index].refused_rests = 0;
    }
    /// Records that a target has not run a request for what follows the item's last event, if that
    /// was asked for. Returns whether so many have refused that the confirmed end has to count.
    bool record_refused_rest(std::size_t index);
    /// Forgets that: another run has shown a part of a further event.
    void clear_closed(std::size_t index) { m_items[index].closed_after.reset(); }
    /// Appends events of a run to the item's output and skips those that it already has. Returns
    /// false when an event id is missing in the sequence; the run must then be aborted.
    bool add_events(std::size_t index, const std::vector<serving::stream_event>& events,
                    time_point now);
    /// Whether the item's output is too long to be stored or listed. Only a target in trouble
    /// writes so much.
    [[nodiscard]] bool is_output_too_long(std::size_t index) const;
    /// Discards the item's progress; its next run starts over.
    void discard_text(std::size_t index);
    /// Records that other targets have free slots, but none of this software version has: items
    /// with a text of that version that don't run have waited since \p now or longer.
    void begin_wait(std::string_view version, time_point now);
    /// Records the outcome of a run. After \p max_attempts failed runs the item is given up with an
    /// incomplete result.
    void finish_run(std::size_t index, item_outcome outcome, int max_attempts);
    /// Excludes \p target from the item's next run while other targets have free slots.
    void set_last_failed_target(std::size_t index, std::string_view target) {
        m_items[index].last_failed_target = target;
    }
    /// Gives up every item that is neither done nor running, with an incomplete result.
    void fail_pending_items();

    /// Results that are not committed yet, in the order of the positions that they will get.
    [[nodiscard]] const std::vector<serving::item_result>& uncommitted() const {
        return m_uncommitted;
    }
    /// Takes the first uncommitted result back, which the store refuses for good: the item runs
    /// again. Returns false, and changes nothing, for an incomplete result, which has no output
    /// that another run could replace.
    bool withdraw_result();
    /// Moves the first \p count uncommitted results to the committed ones, after the commit that
    /// wrote \p record.
    void mark_committed(std::size_t count, versioned_state record);
    /// Adopts \p record and \p stored, all its results, from the store. Returns false and changes
    /// nothing unless \p stored consists of the committed results known here, followed by the first
    /// of the uncommitted ones.
    bool merge_stored(versioned_state record, const std::vector<serving::item_result>& stored);
    [[nodiscard]] change_state last_change() const { return m_last_change; }
    void set_last_change(change_state state) { m_last_change = state; }

    [[nodiscard]] const versioned_state& record() const { return m_record; }
    /// Replaces the record by one that was read from or written to the store. A job that is known
    /// to be cancelled stays so: \p record may be older than the cancellation.
    void update_record(versioned_state record);
    /// Records that a caller has cancelled the job: no item starts any more.
    void mark_cancelled() { m_record.state.cancelled = true; }
    [[nodiscard]] const std::vector<serving::item_result>& committed_results() const {
        return m_committed;
    }
    [[nodiscard]] const owned_item& item(std::size_t index) const { return m_items[index]; }
    [[nodiscard]] const std::vector<owned_item>& items() const { return m_items; }
    /// The item with this id, or null.
    [[nodiscard]] const owned_item* find(std::string_view id) const;
    /// When the job is due: its submission plus the route's completion target.
    [[nodiscard]] time_point due() const { return m_due; }
    /// Records that the store has confirmed, during the registration with this generation, that
    /// this daemon owns the job and that record() is its latest record.
    void confirm(std::uint64_t registration_generation);
    /// Whether no caller can have read more results than committed_results() has. \p
    /// registration_generation is that of this daemon's current registration, or none while it has
    /// none. Another daemon may serve newer results from the store when it adopted the job
    /// between two registrations, or when it cannot reach this daemon and a commit has an unknown
    /// outcome.
    [[nodiscard]] bool is_authoritative(std::optional<std::uint64_t> registration_generation) const;
    /// Tokens of all items that are not done; 0 when the job is cancelled.
    [[nodiscard]] std::uint64_t waiting_tokens() const;
    /// Whether no item is left to run and no result is left to commit.
    [[nodiscard]] bool finished() const;

private:
    /// Ends an item with a result; an incomplete one has no output.
    void add_result(std::size_t index, bool complete);

    versioned_state m_record;
    std::vector<owned_item> m_items;
    std::vector<serving::item_result> m_committed;
    std::vector<serving::item_result> m_uncommitted;
    time_point m_due;
    std::size_t m_max_value_bytes;
    std::uint64_t m_confirmed_generation = 0;
    change_state m_last_change = change_state::settled;
};

} // namespace eelgrassdoor::jobs
