#include "observe/event.hpp"

#include <array>

namespace eelgrassdoor::observe {

namespace {

constexpr auto info = severity::info;
constexpr auto warning = severity::warning;

constexpr std::array catalogue{
    event_info{event::daemon_started, "daemon_started", info,
               "The daemon started and is listening."},
    event_info{event::daemon_ready, "daemon_ready", info,
               "The daemon has a configuration in force."},
    event_info{event::drain_started, "drain_started", info, "Graceful shutdown started."},
    event_info{event::daemon_stopped, "daemon_stopped", info, "The daemon finished its shutdown."},
    event_info{event::settings_reloaded, "settings_reloaded", info, "The settings were reloaded."},
    event_info{event::log_lines_dropped, "log_lines_dropped", warning,
               "Log lines over the rate limit or the buffer size were dropped."},
    event_info{event::settings_rejected, "settings_rejected", warning,
               "The new settings are invalid; the previous settings stay in effect."},
    event_info{event::endpoint_unavailable, "endpoint_unavailable", warning,
               "An address could not be listened on; tried again."},
    event_info{event::configuration_in_force, "configuration_in_force", info,
               "A newer configuration version took effect."},
    event_info{event::configuration_rejected, "configuration_rejected", warning,
               "A configuration was rejected: it is unreadable or older than the one in force."},
    event_info{event::configuration_applied, "configuration_applied", info,
               "This host committed a configuration change of an operator."},
    event_info{event::key_changed, "key_changed", info,
               "An API key was added or withdrawn through this host."},
    event_info{event::member_joined, "member_joined", info,
               "A daemon was seen for the first time."},
    event_info{event::member_suspected, "member_suspected", warning,
               "Nothing was received from a daemon within the suspicion timeout."},
    event_info{event::member_gone, "member_gone", warning,
               "A daemon sends nothing and is not on the host list."},
    event_info{event::member_leaving, "member_leaving", info, "A daemon announced its shutdown."},
    event_info{event::message_dropped, "message_dropped", warning,
               "A peer message failed validation and was dropped."},
    event_info{event::target_listed, "target_listed", info,
               "A target was listed and may receive requests."},
    event_info{event::target_withdrawn, "target_withdrawn", info,
               "A target was withdrawn and receives no new requests."},
    event_info{event::entry_rejected, "entry_rejected", warning,
               "An entry in the key-value service is unreadable and was ignored."},
    event_info{event::mirror_pulled, "mirror_pulled", info,
               "Updates of the key-value service were fetched from another daemon."},
    event_info{event::target_leaving, "target_leaving", info,
               "A target announced its shutdown in a response; it receives no new requests."},
    event_info{event::platform_lost, "platform_lost", warning,
               "The key-value service does not respond."},
    event_info{event::platform_back, "platform_back", info,
               "The key-value service responds again."},
    event_info{event::target_stalled, "target_stalled", warning,
               "A target has not started a response within the stall timeout; it receives no other "
               "requests until it does."},
    event_info{event::evacuated_zones_changed, "evacuated_zones_changed", info,
               "The operator changed which availability zones are evacuated; their targets receive "
               "no requests."},
    event_info{event::mirror_pull_failed, "mirror_pull_failed", warning,
               "Updates of the key-value service could not be fetched from another daemon."},
    event_info{event::segment_suspected, "segment_suspected", warning,
               "A target ended before it answered a request, which or whose prompt segments are "
               "suspected."},
    event_info{
        event::segment_quarantined, "segment_quarantined", warning,
        "Requests are refused because targets crash on them or on a segment of their prompt."},
    event_info{event::target_limit_changed, "target_limit_changed", info,
               "A target limits the requests that it takes, changed the limit, or ended it."},
    event_info{event::target_limit_rejected, "target_limit_rejected", warning,
               "A response named a request limit that is not a number; it was ignored."},
    event_info{event::service_versions_read, "service_versions_read", info,
               "This host learned on which software versions streams may have begun."},
    event_info{event::service_versions_written, "service_versions_written", info,
               "This host wrote which software versions are in service or were a short while ago."},
    event_info{event::service_versions_failed, "service_versions_failed", warning,
               "The software versions in service could not be read or written; tried again."},
    event_info{event::targets_unreachable, "targets_unreachable", warning,
               "This host reaches no target; its requests go through other hosts."},
    event_info{event::targets_reachable, "targets_reachable", info,
               "This host reaches targets again."},
    event_info{event::crash_check_inconclusive, "crash_check_inconclusive", warning,
               "A target closed a request's connection and refuses others, but this host reaches"
               " no other target either; nothing is held against the request."},
    event_info{event::peer_restarted, "peer_restarted", info,
               "The digests of a daemon come from another run of it than before."},
    event_info{event::target_outdated, "target_outdated", warning,
               "A target has restarted and its entry still describes the process before; it"
               " receives requests only when no other target has room."},
    event_info{
        event::target_capacity_changed, "target_capacity_changed", info,
        "A target was found to be faster or slower than the others of its service, or to slow"
        " down early, or no longer so."},
    event_info{event::limit_part_claimed, "limit_part_claimed", info,
               "This host claimed a part of every customer's rate limit in its zone."},
    event_info{event::limit_part_lost, "limit_part_lost", warning,
               "Another host or incarnation now holds the part of the rate limits."},
    event_info{event::limit_authority_lapsed, "limit_authority_lapsed", warning,
               "The part of the rate limits is not used until its record has been read again."},
    event_info{event::limit_granted, "limit_granted", info, "A rate limit token was granted."},
    event_info{event::limit_refused, "limit_refused", info,
               "A rate limit token could not be granted."},
    event_info{event::request_received, "request_received", info,
               "A request of a caller was received."},
    event_info{event::request_refused, "request_refused", info,
               "A request was answered without being executed."},
    event_info{event::target_chosen, "target_chosen", info, "A target was selected for a request."},
    event_info{event::target_answered, "target_answered", info, "A target started its response."},
    event_info{event::target_failed, "target_failed", warning, "A call to a target failed."},
    event_info{event::request_retried, "request_retried", info,
               "A request is retried on another target."},
    event_info{event::request_finished, "request_finished", info,
               "The response to a caller ended."},
    event_info{event::stream_ended_by_key, "stream_ended_by_key", info,
               "A stream was terminated because its key was withdrawn."},
    event_info{
        event::request_waited, "request_waited", info,
        "A request exceeded its customer's rate limit; reports how long it waited for a token."},
    event_info{event::claim_created, "claim_created", info,
               "A non-idempotent call was claimed before being sent."},
    event_info{event::claim_replayed, "claim_replayed", info,
               "A resent call was answered with the result stored in its claim."},
    event_info{event::stream_resumed, "stream_resumed", info,
               "An interrupted stream continues on another target."},
    event_info{event::caller_left, "caller_left", info,
               "The caller closed its connection before it received a response."},
    event_info{event::backup_started, "backup_started", info,
               "The target of a request is silent; another one is tried beside it."},
    event_info{event::backup_withdrawn, "backup_withdrawn", info,
               "A silent target went on, or the request ended, before the other target responded."},
    event_info{event::stream_version_found, "stream_version_found", info,
               "This host learned which software version began a stream that a caller resumes."},
    event_info{event::stream_version_unknown, "stream_version_unknown", warning,
               "A caller resumes a stream, and no daemon that was asked in time knows"
               " which software version began it."},
    event_info{event::request_relayed, "request_relayed", info,
               "A request was sent to its target through another host."},
    event_info{
        event::response_end_unconfirmed, "response_end_unconfirmed", warning,
        "The connection of a response without framing was closed, and nothing confirms that the"
        " target has finished it; the response counts as broken off. Tells why."},
    event_info{event::request_yielded, "request_yielded", warning,
               "An incomplete request gave way because requests hold all memory that is left to"
               " them; at most one in a second is logged."},
    event_info{event::place_waited, "place_waited", info,
               "A request found every target full; reports how long it waited for a place."},
    event_info{event::response_end_confirmed, "response_end_confirmed", info,
               "The connection of a response without framing was closed, and the response counts as"
               " complete; tells by what."},
    event_info{event::stream_rest_requested, "stream_rest_requested", info,
               "The connection of a stream without framing was closed; a further run is asked for"
               " what follows its last event."},
    event_info{event::stream_version_deduced, "stream_version_deduced", info,
               "Nobody who was asked knows which software version began a stream that a caller "
               "resumes, but only one can have begun it."},
    event_info{event::stream_version_undecided, "stream_version_undecided", warning,
               "A caller resumes a stream, and this host cannot tell which software version began "
               "it; the request is refused."},
    event_info{event::stream_version_unpublished, "stream_version_unpublished", warning,
               "A stream begins on a software version of which it is not known to be stored that "
               "streams begin on it; it is stored when the key-value service answers again."},
    event_info{
        event::response_yielded, "response_yielded", info,
        "A response was broken off because unread responses hold all memory that is left to "
        "them, and its client had taken the least of it; reports for how long, and the bytes "
        "held and taken."},
    event_info{event::job_accepted, "job_accepted", info, "A batch job was accepted."},
    event_info{event::job_claimed, "job_claimed", info,
               "This host became the owner of a batch job."},
    event_info{event::job_progress, "job_progress", info, "Results of a batch job were committed."},
    event_info{event::job_finished, "job_finished", info,
               "Every item of a batch job has a result."},
    event_info{event::job_cancelled, "job_cancelled", info, "A batch job was cancelled."},
    event_info{event::job_lost, "job_lost", warning,
               "Another host became the owner of a batch job."},
    event_info{event::copy_written, "copy_written", info, "A copy of a batch job was stored."},
    event_info{event::copy_repaired, "copy_repaired", info,
               "A lost copy of a batch job was recreated."},
    event_info{event::item_dispatched, "item_dispatched", info,
               "A batch item was sent to a target."},
    event_info{event::item_finished, "item_finished", info, "A batch item has a result."},
    event_info{event::item_yielded, "item_yielded", info,
               "A batch item was stopped to free capacity for online requests."},
    event_info{event::job_released, "job_released", info,
               "This host handed a batch job over to another host."},
    event_info{event::host_emptied, "host_emptied", info,
               "This host no longer owns any batch jobs, as requested by an operator."},
    event_info{event::commit_failed, "commit_failed", warning,
               "A change could not be committed to the key-value service."},
    event_info{event::result_withdrawn, "result_withdrawn", warning,
               "The key-value service refused a batch item's result, so the item runs again."},
    event_info{event::segment_truncated, "segment_truncated", warning,
               "An incomplete record at the end of a segment was truncated."},
    event_info{event::engine_ran, "engine_ran", info,
               "A simulated engine executed a request (tests only)."},
};

} // namespace

std::span<const event_info> event_catalogue() {
    return catalogue;
}

const event_info& find_event_info(event id) {
    for (const event_info& entry : catalogue) {
        if (entry.id == id) {
            return entry;
        }
    }
    return catalogue.front();
}

} // namespace eelgrassdoor::observe
