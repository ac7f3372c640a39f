#include "jobs/owned_job.hpp"

#include "jobs/result_size.hpp"

#include <algorithm>
#include <set>

namespace eelgrassdoor::jobs {

namespace {

/// Requests for what follows a text, each at another target if there is one, that targets may
/// refuse before the text counts as whole.
constexpr int max_refused_rests = 4;

} // namespace

bool owned_item::may_start_over(time_point now) const {
    return waiting_since && waited + (now - *waiting_since) >= text_time;
}

void owned_item::record_progress(time_point now) {
    if (waiting_since) {
        waited += std::max(duration::zero(), run_started - *waiting_since);
        waiting_since.reset();
    }
    text_time += now - last_progress;
    last_progress = now;
}

owned_job::owned_job(versioned_state record, std::vector<serving::submitted_item> items,
                     std::vector<serving::item_result> committed_results, time_point due,
                     std::size_t max_value_bytes)
    : m_record(std::move(record)), m_committed(std::move(committed_results)), m_due(due),
      m_max_value_bytes(max_value_bytes) {
    std::set<std::string_view> done;
    for (const serving::item_result& result : m_committed) {
        done.insert(result.item);
    }
    for (serving::submitted_item& content : items) {
        owned_item item;
        item.done = done.contains(content.id);
        item.content = std::move(content);
        m_items.push_back(std::move(item));
    }
}

std::optional<std::size_t>
owned_job::next(const std::function<bool(const owned_item&)>& is_held) const {
    if (m_record.state.cancelled) {
        return std::nullopt;
    }
    // Interrupted items are resumed before new ones start, so that results are available early.
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < m_items.size(); ++i) {
        const owned_item& item = m_items[i];
        if (item.done || item.running) {
            continue;
        }
        const bool goes_first = !found || item.events > m_items[*found].events;
        if (goes_first && !(is_held && is_held(item))) {
            found = i;
        }
    }
    return found;
}

void owned_job::mark_running(std::size_t index, std::string_view version, time_point now) {
    owned_item& item = m_items[index];
    const bool goes_on = item.version == version && version != routing::unknown_version &&
                         !item.has_unnumbered_event;
    if (item.has_text() && !goes_on) {
        discard_text(index);
    }
    if (item.has_text() && !item.waiting_since) {
        // A run without events must not end the wait: a target that can't be reached would keep the
        // text for ever.
        item.waiting_since = now;
    }
    item.version = version;
    item.running = true;
    item.run_started = now;
    item.last_progress = now;
}

void owned_job::discard_text(std::size_t index) {
    owned_item& item = m_items[index];
    item.last_event.reset();
    item.closed_after.reset();
    item.output.clear();
    item.output.shrink_to_fit();
    item.listed_bytes = 0;
    item.events = 0;
    item.has_unnumbered_event = false;
    item.text_time = {};
    item.waited = {};
    item.waiting_since.reset();
}

bool owned_job::is_output_too_long(std::size_t index) const {
    const owned_item& item = m_items[index];
    // What a result takes beside its output.
    const serving::item_result frame{item.content.id, true, {}};
    return listed_size(frame) + item.listed_bytes + value_frame_bytes > max_response_bytes ||
           stored_size(frame) + item.output.size() + value_frame_bytes > m_max_value_bytes;
}

bool owned_job::record_refused_rest(std::size_t index) {
    owned_item& item = m_items[index];
    if (!item.has_closed_after_last_event()) {
        return false;
    }
    ++item.refused_rests;
    return item.refused_rests >= max_refused_rests;
}

void owned_job::begin_wait(std::string_view version, time_point now) {
    for (owned_item& item : m_items) {
        const bool waits = !item.done && !item.running && item.has_text();
        if (waits && !item.waiting_since && item.version == version) {
            item.waiting_since = now;
        }
    }
}

bool owned_job::add_events(std::size_t index, const std::vector<serving::stream_event>& events,
                           time_point now) {
    owned_item& item = m_items[index];
    for (const serving::stream_event& event : events) {
        const bool is_known = event.id && item.last_event && *event.id <= *item.last_event;
        if (is_known || event.is_comment) {
            continue;
        }
        if (event.id && item.last_event && *event.id != *item.last_event + 1) {
            return false;
        }
        const std::string_view separator = item.events > 0 ? "\n" : "";
        item.output += separator;
        item.output += event.data;
        item.listed_bytes += listed_size(separator) + listed_size(event.data);
        item.last_event = event.id ? event.id : item.last_event;
        ++item.events;
        item.has_unnumbered_event = item.has_unnumbered_event || !event.id;
        item.record_progress(now);
    }
    return true;
}

void owned_job::add_result(std::size_t index, bool complete) {
    owned_item& item = m_items[index];
    item.done = true;
    m_uncommitted.push_back(
        {item.content.id, complete, complete ? std::move(item.output) : std::string()});
    item.output.clear();
}

bool owned_job::withdraw_result() {
    const serving::item_result& refused = m_uncommitted.front();
    const auto item = std::find_if(m_items.begin(), m_items.end(), [&](const owned_item& each) {
        return each.content.id == refused.item;
    });
    if (!refused.complete || item == m_items.end()) {
        return false;
    }
    item->done = false;
    discard_text(static_cast<std::size_t>(item - m_items.begin()));
    m_uncommitted.erase(m_uncommitted.begin());
    return true;
}

void owned_job::finish_run(std::size_t index, item_outcome outcome, int max_attempts) {
    owned_item& item = m_items[index];
    item.running = false;
    if (item.done) {
        return;
    }
    switch (outcome) {
    case item_outcome::complete:
        add_result(index, true);
        break;
    case item_outcome::rejected:
        add_result(index, false);
        break;
    case item_outcome::failed:
        ++item.failures;
        if (item.failures >= max_attempts) {
            add_result(index, false);
        }
        break;
    case item_outcome::interrupted:
        break;
    }
}

void owned_job::fail_pending_items() {
    for (std::size_t i = 0; i < m_items.size(); ++i) {
        if (!m_items[i].done && !m_items[i].running) {
            add_result(i, false);
        }
    }
}

void owned_job::mark_committed(std::size_t count, versioned_state record) {
    const auto end = m_uncommitted.begin() + static_cast<std::ptrdiff_t>(count);
    std::move(m_uncommitted.begin(), end, std::back_inserter(m_committed));
    m_uncommitted.erase(m_uncommitted.begin(), end);
    update_record(std::move(record));
    m_last_change = change_state::settled;
}

void owned_job::update_record(versioned_state record) {
    record.state.cancelled = record.state.cancelled || m_record.state.cancelled;
    m_record = std::move(record);
}

bool owned_job::merge_stored(versioned_state record,
                             const std::vector<serving::item_result>& stored) {
    if (stored.size() < m_committed.size() ||
        stored.size() > m_committed.size() + m_uncommitted.size()) {
        return false;
    }
    const std::size_t count = stored.size() - m_committed.size();
    for (std::size_t i = 0; i < count; ++i) {
        const serving::item_result& stored_result = stored[m_committed.size() + i];
        const serving::item_result& local_result = m_uncommitted[i];
        const bool same = stored_result.item == local_result.item &&
                          stored_result.complete == local_result.complete &&
                          stored_result.output == local_result.output;
        if (!same) {
            return false;
        }
    }
    mark_committed(count, std::move(record));
    return true;
}

void owned_job::confirm(std::uint64_t registration_generation) {
    m_confirmed_generation = registration_generation;
    m_last_change = change_state::settled;
}

bool owned_job::is_authoritative(std::optional<std::uint64_t> registration_generation) const {
    // Results are final: when all are committed, none can follow.
    const bool all_committed = m_committed.size() == m_record.state.items;
    return all_committed || (registration_generation == m_confirmed_generation &&
                             m_last_change == change_state::settled);
}

const owned_item* owned_job::find(std::string_view id) const {
    const auto found = std::find_if(m_items.begin(), m_items.end(),
                                    [&](const owned_item& item) { return item.content.id == id; });
    return found == m_items.end() ? nullptr : &*found;
}

std::uint64_t owned_job::waiting_tokens() const {
    if (m_record.state.cancelled) {
        return 0;
    }
    std::uint64_t sum = 0;
    for (const owned_item& item : m_items) {
        sum += item.done ? 0 : item.content.tokens;
    }
    return sum;
}

bool owned_job::finished() const {
    const bool all_done = std::all_of(m_items.begin(), m_items.end(),
                                      [](const owned_item& item) { return item.done; });
    return m_uncommitted.empty() && (all_done || m_record.state.cancelled);
}

} // namespace eelgrassdoor::jobs
