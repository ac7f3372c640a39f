/// \file
/// Defines the service that holds parts of the customers' rates for all daemons.
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

/// Claims slots of the zone's limit record and grants tokens from them. Thread-safe.
class slot_service {
public:
    slot_service(runtime& shared, platform::config_repository& repository, member_service& members,
                 document_service& documents);

    void start();
    void stop() { m_ticker.stop(); }

    /// Gives up every slot, so that another daemon of the zone may claim it at once. Call stop()
    /// before.
    void release_all();

    /// Grants tokens from a slot that this daemon holds.
    peer::limit_answer answer(const peer::limit_ask& ask);
    void take_back(const peer::limit_return& back);
    /// Notices that another daemon claimed a slot that this one held.
    void note_member(const membership::member_record& heard);

private:
    /// One slot of the zone that this daemon holds.
    struct held_part {
        limits::authority right;
        std::unique_ptr<limits::part_table> table;
    };

    void step();
    void configure();
    void maintain_slots();
    std::size_t slots_heard_in_zone() const;
    void read_zone_record(time_point asked_at);
    void try_claim(const limits::slot_record& record, std::int64_t revision);
    void begin_to_hold(const limits::slot_claim& claim, std::uint64_t epoch);
    void lose(std::size_t slot);
    void release(std::size_t slot);
    void confirm_with_peers(time_point asked_at);
    void publish_slots();

    std::optional<std::string> on_ask(const peer::envelope& e);
    std::optional<std::string> on_return(const peer::envelope& e);
    std::optional<std::string> on_confirm() const;

    runtime& m_shared;
    platform::config_repository& m_repository;
    member_service& m_members;
    document_service& m_documents;
    const std::string m_record_key;

    mutable absl::Mutex m_mutex;
    std::array<held_part, limits::slots_per_zone> m_held ABSL_GUARDED_BY(m_mutex);
    limits::customer_limits m_limits ABSL_GUARDED_BY(m_mutex);
    std::size_t m_part_count ABSL_GUARDED_BY(m_mutex) = 1;
    std::uint64_t m_configured_version ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_known_epoch ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_noted_pauses ABSL_GUARDED_BY(m_mutex) = 0;
    time_point m_next_record_read ABSL_GUARDED_BY(m_mutex){};
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
