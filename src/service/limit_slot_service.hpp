/// \file
/// Defines the service that holds slots of the customers' rate limits on behalf of all daemons.
#pragma once

#include "limits/authority.hpp"
#include "limits/slot_buckets.hpp"
#include "limits/slot_record.hpp"
#include "platform/config_repository.hpp"
#include "service/daemon_context.hpp"
#include "service/document_service.hpp"
#include "service/member_service.hpp"
#include "service/ticker.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassdoor::service {

/// Claims slots in the zone's record in the key-value service, and grants tokens from the token
/// buckets of the slots that it holds. Thread-safe.
class limit_slot_service {
public:
    limit_slot_service(daemon_context& context, platform::config_repository& repository,
                       member_service& members, document_service& documents);

    /// Starts to claim and confirm slots; without it this daemon holds none.
    void start();
    void stop() { m_ticker.stop(); }

    /// Releases every slot, so that other daemons of the zone can claim them at once. Call stop()
    /// first.
    void release_all();

    /// Grants tokens from a slot of this daemon. The answer has has_authority unset when this
    /// daemon may not use the slot.
    peer::limit_response grant_tokens(const peer::limit_request& request);
    /// Returns lent tokens to the bucket that they came from. Ignored when the slot is not held.
    void accept_return(const peer::limit_return& loan_return);
    /// Stops using slots that, according to \p peer_record, another daemon of the zone has claimed.
    void handle_member_record(const membership::member_record& peer_record);

private:
    /// The state of one slot of the zone; \p buckets is null while this daemon does not hold it.
    struct held_slot_state {
        limits::authority authority;
        std::unique_ptr<limits::slot_buckets> buckets;
    };

    /// Detects pauses of the process, then calls configure() and maintain_slots(); run every 100
    /// ms.
    void step();
    /// Applies a new configuration to the buckets.
    void configure();
    /// Reads the zone's record when due, to confirm, lose or claim slots.
    void maintain_slots();
    /// The number of the zone's slots that are in the member records of live daemons.
    std::size_t claimed_slots_in_zone() const;
    /// Reads the zone's slot record: confirms the slots held, drops those that another daemon has
    /// claimed, and calls try_claim().
    void read_zone_record(time_point query_sent_at);
    /// Claims at most one slot by replacing the record of the given revision. Does nothing when the
    /// host list is out of date or this daemon is shutting down.
    void try_claim(const limits::slot_record& record, std::int64_t revision);
    /// Starts to grant tokens from a slot that was just claimed.
    void activate_slot(const limits::slot_claim& claim, std::uint64_t epoch);
    /// Stops granting tokens from a slot and removes it from this daemon's member record.
    void mark_slot_lost(std::size_t slot);
    /// Removes this daemon from a slot in the zone's record.
    void release(std::size_t slot);
    /// Confirms lapsed slots when the key-value service is unreachable and every other live daemon
    /// of the zone answers that it knows no newer epoch of the slot record.
    void confirm_with_peers(time_point query_sent_at);
    /// Updates the slots in this daemon's member record.
    void publish_slots();

    std::optional<std::string> on_limit_request(const peer::envelope& e);
    std::optional<std::string> on_limit_return(const peer::envelope& e);
    std::optional<std::string> on_epoch_request() const;

    daemon_context& m_context;
    platform::config_repository& m_repository;
    member_service& m_members;
    document_service& m_documents;
    const std::string m_record_key;

    mutable absl::Mutex m_mutex;
    std::array<held_slot_state, limits::slots_per_zone> m_held ABSL_GUARDED_BY(m_mutex);
    limits::customer_limits m_limits ABSL_GUARDED_BY(m_mutex);
    std::size_t m_slot_count ABSL_GUARDED_BY(m_mutex) = 1;
    std::uint64_t m_configured_version ABSL_GUARDED_BY(m_mutex) = 0;
    /// The highest epoch of the zone's slot record seen in the record or in member records.
    std::uint64_t m_known_epoch ABSL_GUARDED_BY(m_mutex) = 0;
    /// The number of pauses of the process that events were emitted for, summed over all slots.
    std::uint64_t m_reported_pauses ABSL_GUARDED_BY(m_mutex) = 0;
    time_point m_next_record_read ABSL_GUARDED_BY(m_mutex){};
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
