#include "observe/event.hpp"

#include <array>

namespace eelgrassdoor::observe {

namespace {

constexpr auto info = severity::info;
constexpr auto warning = severity::warning;

constexpr std::array catalogue{
    event_info{event::daemon_started, "daemon_started", info, "The daemon listens."},
    event_info{event::daemon_ready, "daemon_ready", info, "A configuration is in force."},
    event_info{event::drain_started, "drain_started", info, "A graceful shutdown has begun."},
    event_info{event::daemon_stopped, "daemon_stopped", info, "The daemon has ended its work."},
    event_info{event::settings_reloaded, "settings_reloaded", info,
               "The settings were read again."},
    event_info{event::log_lines_dropped, "log_lines_dropped", warning,
               "Log lines over the budget were dropped."},
    event_info{event::settings_rejected, "settings_rejected", warning,
               "The settings could not be used; the earlier ones stay."},
    event_info{event::configuration_in_force, "configuration_in_force", info,
               "A newer configuration version is used from now on."},
    event_info{event::configuration_rejected, "configuration_rejected", warning,
               "A configuration could not be read or is older than the one in force."},
    event_info{event::configuration_applied, "configuration_applied", info,
               "An operator's change was committed by this host."},
    event_info{event::key_changed, "key_changed", info, "A key was added or withdrawn here."},
    event_info{event::member_joined, "member_joined", info,
               "A daemon was heard for the first time."},
    event_info{event::member_suspected, "member_suspected", warning,
               "A daemon was not heard for the suspicion time."},
    event_info{event::member_gone, "member_gone", warning,
               "A daemon is neither heard nor on the host list."},
    event_info{event::member_leaving, "member_leaving", info, "A daemon announced its shutdown."},
    event_info{event::message_dropped, "message_dropped", warning,
               "A peer message failed a check and was dropped."},
    event_info{event::target_listed, "target_listed", info, "A target may be used from now on."},
    event_info{event::target_withdrawn, "target_withdrawn", info, "A target gets no new work."},
    event_info{event::entry_rejected, "entry_rejected", warning,
               "An entry of another writer could not be read and is ignored."},
    event_info{event::mirror_pulled, "mirror_pulled", info,
               "News of the key-value service were taken from another daemon."},
    event_info{event::target_leaving, "target_leaving", info,
               "A target said in an answer that it leaves; it gets no new work."},
    event_info{event::platform_lost, "platform_lost", warning,
               "The key-value service does not answer."},
    event_info{event::platform_back, "platform_back", info, "The key-value service answers again."},
    event_info{
        event::target_stalled, "target_stalled", warning,
        "A target has not begun an answer for too long; it gets no other request until then."},
    event_info{event::limit_part_claimed, "limit_part_claimed", info,
               "This host holds a part of every customer's rate in its zone."},
    event_info{event::limit_part_lost, "limit_part_lost", warning,
               "Another host or incarnation holds the part now."},
    event_info{event::limit_authority_lapsed, "limit_authority_lapsed", warning,
               "The part is not used until its record has been read again."},
    event_info{event::limit_granted, "limit_granted", info, "A token was granted."},
    event_info{event::limit_refused, "limit_refused", info, "No token could be granted."},
    event_info{event::request_received, "request_received", info, "A caller's request arrived."},
    event_info{event::request_refused, "request_refused", info,
               "A request was answered without being run."},
    event_info{event::target_chosen, "target_chosen", info, "A target was chosen for a request."},
    event_info{event::target_answered, "target_answered", info, "A target's answer began."},
    event_info{event::target_failed, "target_failed", warning, "A call to a target failed."},
    event_info{event::request_retried, "request_retried", info,
               "A request is sent to another target."},
    event_info{event::request_finished, "request_finished", info,
               "The answer to a caller has ended."},
    event_info{event::stream_ended_by_key, "stream_ended_by_key", info,
               "A stream was ended because its key was withdrawn."},
    event_info{event::request_waited, "request_waited", info,
               "A request found no token of its customer's rate; how long it waited for one."},
    event_info{event::claim_created, "claim_created", info,
               "A non-idempotent call was claimed before it is sent."},
    event_info{event::claim_replayed, "claim_replayed", info,
               "A resent call was answered from its claim."},
    event_info{event::stream_resumed, "stream_resumed", info,
               "A broken stream goes on at another target."},
    event_info{event::caller_left, "caller_left", info,
               "The caller closed its connection before it was answered."},
    event_info{event::job_accepted, "job_accepted", info, "A batch job was acknowledged."},
    event_info{event::job_claimed, "job_claimed", info, "This host owns a batch job."},
    event_info{event::job_progress, "job_progress", info, "Results of a job were committed."},
    event_info{event::job_finished, "job_finished", info, "Every item of a job has its result."},
    event_info{event::job_cancelled, "job_cancelled", info, "A job was cancelled."},
    event_info{event::job_lost, "job_lost", warning, "Another host owns the job now."},
    event_info{event::copy_written, "copy_written", info, "A copy of a job was stored."},
    event_info{event::copy_repaired, "copy_repaired", info, "A lost copy was made again."},
    event_info{event::item_dispatched, "item_dispatched", info, "A batch item was sent."},
    event_info{event::item_finished, "item_finished", info, "A batch item has its result."},
    event_info{event::item_yielded, "item_yielded", info,
               "A batch item was stopped in favour of online work."},
    event_info{event::job_released, "job_released", info,
               "This host gave a job up to another one."},
    event_info{event::host_emptied, "host_emptied", info,
               "This host owns no job any more, as the operator asked."},
    event_info{event::commit_failed, "commit_failed", warning,
               "A change could not be committed to the key-value service."},
    event_info{event::segment_truncated, "segment_truncated", warning,
               "A torn record at the end of a segment was cut off."},
    event_info{event::engine_ran, "engine_ran", info,
               "An engine stand-in ran a request (tests only)."},
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
