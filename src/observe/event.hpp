/// \file
/// Defines the numbered events of logs and timelines; docs/EVENTS.md lists them.
#pragma once

#include <span>
#include <string_view>

namespace eelgrassdoor::observe {

enum class severity { info, warning, error };

/// Events of logs and timelines. The numbers and names are stable: the number of a retired event is
/// never reused.
enum class event {
    daemon_started = 100,
    daemon_ready = 101,
    drain_started = 102,
    daemon_stopped = 103,
    settings_reloaded = 104,
    log_lines_dropped = 105,
    settings_rejected = 106,
    endpoint_unavailable = 107,
    configuration_in_force = 200,
    configuration_rejected = 201,
    configuration_applied = 202,
    key_changed = 203,
    member_joined = 300,
    member_suspected = 301,
    member_gone = 302,
    member_leaving = 303,
    message_dropped = 304,
    target_listed = 305,
    target_withdrawn = 306,
    entry_rejected = 307,
    mirror_pulled = 308,
    target_leaving = 309,
    platform_lost = 310,
    platform_back = 311,
    target_stalled = 312,
    evacuated_zones_changed = 313,
    mirror_pull_failed = 314,
    segment_suspected = 315,
    segment_quarantined = 316,
    target_limit_changed = 317,
    target_limit_rejected = 318,
    service_versions_read = 319,
    service_versions_written = 320,
    service_versions_failed = 321,
    targets_unreachable = 322,
    targets_reachable = 323,
    crash_check_inconclusive = 324,
    peer_restarted = 325,
    target_outdated = 326,
    target_capacity_changed = 327,
    limit_part_claimed = 400,
    limit_part_lost = 401,
    limit_authority_lapsed = 402,
    limit_granted = 403,
    limit_refused = 404,
    request_received = 500,
    request_refused = 501,
    target_chosen = 502,
    target_answered = 503,
    target_failed = 504,
    request_retried = 505,
    request_finished = 506,
    stream_ended_by_key = 507,
    request_waited = 508,
    claim_created = 510,
    claim_replayed = 511,
    stream_resumed = 512,
    caller_left = 513,
    backup_started = 514,
    backup_withdrawn = 515,
    stream_version_found = 516,
    stream_version_unknown = 517,
    request_relayed = 518,
    response_end_unconfirmed = 519,
    request_yielded = 520,
    place_waited = 521,
    response_end_confirmed = 522,
    stream_rest_requested = 523,
    stream_version_deduced = 524,
    stream_version_undecided = 525,
    stream_version_unpublished = 526,
    response_yielded = 527,
    job_accepted = 600,
    job_claimed = 601,
    job_progress = 602,
    job_finished = 603,
    job_cancelled = 604,
    job_lost = 605,
    copy_written = 606,
    copy_repaired = 607,
    item_dispatched = 610,
    item_finished = 611,
    item_yielded = 612,
    job_released = 613,
    host_emptied = 614,
    commit_failed = 615,
    result_withdrawn = 616,
    segment_truncated = 620,
    engine_ran = 900,
};

/// Catalogue entry of one event.
struct event_info {
    event id;
    std::string_view name;
    severity level;
    /// One sentence for operators, the same as in docs/EVENTS.md.
    std::string_view meaning;
};

/// Returns the entries of all events in the order of their numbers.
std::span<const event_info> event_catalogue();

/// Returns the catalogue entry of \p id, which must be an enumerator of event.
const event_info& find_event_info(event id);

} // namespace eelgrassdoor::observe
