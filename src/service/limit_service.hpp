/// \file
/// Defines the service that takes a token of a customer's rate for each request.
#pragma once

#include "base/error.hpp"
#include "limits/fractional_token.hpp"
#include "limits/holder_view.hpp"
#include "service/daemon_context.hpp"
#include "service/limit_slot_service.hpp"
#include "service/member_service.hpp"
#include "service/ticker.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace eelgrassdoor::service {

/// Asks the holders of parts, the nearest or fullest first. Thread-safe.
class limit_service {
public:
    limit_service(runtime& shared, member_service& members, slot_service& own_slots)
        : m_shared(shared), m_members(members), m_own_slots(own_slots) {}

    void start();
    void stop() { m_ticker.stop(); }

    /// Whether the holders of all parts have been found since the start, or as many as could be
    /// found in a time. Before that, requests within the rate would be refused.
    [[nodiscard]] bool ready() const { return m_ready; }

    /// Takes one token of \p customer's rate. The error has error_code::rate_limited and says
    /// when to come back.
    result<void> admit(std::string_view customer, std::string_view request_id);

private:
    void refresh_holders();
    void note_found(std::size_t holders);
    /// The customer's part in each slot; nothing when the customer does not exist.
    std::optional<limits::part_share> share_of(std::string_view customer) const;
    limits::ask_plan make_plan(std::string_view customer, limits::part_share share);
    /// Asks one holder for a whole token.
    bool ask_one(const limits::holder& who, std::string_view customer);
    /// Collects one token in fractions from several holders.
    bool ask_together(std::string_view customer, limits::part_share share);
    /// Asks for the fractions in parallel and adds what was granted.
    void collect(std::span<const limits::ask_wish> wishes, std::string_view customer,
                 std::vector<limits::holder>& lenders, limits::collection& token);
    void give_back(const limits::holder& whom, std::uint64_t grant_id, double amount);
    /// Takes in an answer; returns whether it may be used.
    bool note_answer(const limits::holder& who, std::string_view customer,
                     const std::optional<peer::limit_answer>& answer);

    runtime& m_shared;
    member_service& m_members;
    slot_service& m_own_slots;
    absl::Mutex m_mutex;
    limits::holder_view m_view ABSL_GUARDED_BY(m_mutex);
    std::atomic<bool> m_ready{false};
    /// Used by the ticker's thread alone.
    time_point m_first_found{};
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
