/// \file
/// Defines the service that admits requests within the customers' rate limits.
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

/// Each customer's rate limit is divided into token buckets, one per slot; slots are held by
/// daemons (see limit_slot_service). Takes a token from one holder, preferring those of this zone
/// or with the fullest bucket, or in fractions from several. Thread-safe.
class limit_service {
public:
    limit_service(daemon_context& context, member_service& members, limit_slot_service& limit_slots)
        : m_context(context), m_members(members), m_limit_slots(limit_slots) {}

    /// Starts to update the list of holders every 200 ms.
    void start();
    void stop() { m_ticker.stop(); }

    /// Whether the holders of all slots were found since the start, or some and the search ended
    /// after 5 s. Before that, requests within the rate limit would be rejected.
    [[nodiscard]] bool ready() const { return m_ready; }

    /// Takes one token of \p customer's rate limit. Fails with error_code::rate_limited and a
    /// retry-after time when there is none, with error_code::unavailable when no holder is
    /// reachable and with error_code::forbidden when the customer does not exist. Needs a
    /// configuration.
    result<void> admit(std::string_view customer, std::string_view request_id);

private:
    void refresh_holders();
    /// Sets m_ready according to the number of holders found.
    void update_readiness(std::size_t holders);
    /// The parameters of the customer's bucket in each slot; none when the customer does not exist.
    std::optional<limits::bucket_params> bucket_params_of(std::string_view customer) const;
    limits::acquire_plan make_plan(std::string_view customer, limits::bucket_params bucket);
    /// Requests a whole token from one holder; returns whether it was granted.
    bool acquire_whole(const limits::holder& holder, std::string_view customer);
    /// Collects one token in fractions from several holders; returns whether it is complete.
    /// Returns what is not used to the lenders.
    bool acquire_in_fractions(std::string_view customer, limits::bucket_params bucket);
    /// Sends the requests in parallel; adds each granted fraction to \p token and its lender to
    /// \p lenders.
    void collect(std::span<const limits::fraction_request> requests, std::string_view customer,
                 std::vector<limits::holder>& lenders, limits::fractional_token& token);
    /// Tells the lender how many tokens of a grant were not used; 0 settles a grant that was used
    /// up.
    void return_loan(const limits::holder& lender, std::uint64_t grant_id, double amount);
    /// Updates the view by an answer, or by its absence; returns whether the grant may be used.
    bool record_answer(const limits::holder& holder, std::string_view customer,
                       const std::optional<peer::limit_response>& answer);

    daemon_context& m_context;
    member_service& m_members;
    limit_slot_service& m_limit_slots;
    absl::Mutex m_mutex;
    limits::holder_view m_view ABSL_GUARDED_BY(m_mutex);
    std::atomic<bool> m_ready{false};
    /// Accessed by the ticker's thread only.
    time_point m_first_holder_at{};
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
