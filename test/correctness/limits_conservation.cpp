/// \file
/// Tests that all slots together admit at most rate * t + burst for a customer in any time span t,
/// with lost and late messages, slots that are taken over, and paused holders.
#include "check.hpp"
#include "limits/authority.hpp"
#include "limits/holder_view.hpp"
#include "limits/slot_buckets.hpp"

#include <deque>
#include <memory>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::limits;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

constexpr std::size_t fleet_slots = 8;
constexpr std::string_view customer = "c";
/// The longest time from a loan to the use of its token, which may take two rounds of requests. It
/// is below slot_buckets::loan_return_window.
constexpr int max_flight_ms = 240;

/// The holders of one customer's buckets and the times of all admissions.
class fleet {
public:
    fleet(double rate, double burst) : m_limits{{std::string(customer), {rate, burst}}} {
        for (std::size_t i = 0; i < fleet_slots; ++i) {
            m_slots.push_back(make_slot_buckets(true));
        }
    }

    void advance_time(duration step) { m_clock.advance(step); }

    void acquire_whole(std::size_t i) {
        const grant g = m_slots[i]->acquire(customer, 1, false, m_clock.now());
        if (g.amount > 0) {
            admit();
        }
    }

    /// Takes all whole tokens that the buckets have.
    void drain() {
        for (auto& buckets : m_slots) {
            while (buckets->acquire(customer, 1, false, m_clock.now()).amount > 0) {
                admit();
            }
        }
    }

    /// Collects a token in fractions. The answers of holders in \p lost_mask are lost. The token is
    /// used after \p flight, when all other tokens are taken too. The unused fractions are returned
    /// \p late after that.
    void acquire_fractions(unsigned lost_mask, duration flight, duration late) {
        double sum = 0;
        std::vector<std::pair<std::size_t, grant>> loans;
        for (std::size_t i = 0; i < fleet_slots; ++i) {
            const grant g = m_slots[i]->acquire(customer, 1, true, m_clock.now());
            if ((lost_mask >> i & 1U) == 0) {
                sum += g.amount;
                loans.emplace_back(i, g);
            }
        }
        advance_time(flight);
        double needed = sum >= 1 ? 1 : 0;
        if (needed > 0) {
            admit();
            drain();
        }
        advance_time(late);
        for (const auto& [i, g] : loans) {
            const double used = std::min(needed, g.amount);
            needed -= used;
            m_slots[i]->return_loan(g.id, g.amount - used, m_clock.now());
            // A duplicated datagram must change nothing.
            m_slots[i]->return_loan(g.id, g.amount, m_clock.now());
        }
    }

    /// Replaces a lost holder; the slot that is taken over starts empty.
    void take_over(std::size_t i) { m_slots[i] = make_slot_buckets(false); }

    /// Whether every time span between two admissions has at most rate * t + burst of them.
    [[nodiscard]] bool within_limit() const {
        const customer_limit& limit = m_limits.begin()->second;
        for (std::size_t i = 0; i < m_admitted.size(); ++i) {
            for (std::size_t j = i; j < m_admitted.size(); ++j) {
                const double t = to_seconds(m_admitted[j] - m_admitted[i]);
                if (static_cast<double>(j - i + 1) >
                    limit.rate_per_second * t + limit.burst + 1e-6) {
                    return false;
                }
            }
        }
        return true;
    }

private:
    std::unique_ptr<slot_buckets> make_slot_buckets(bool full) {
        std::set<std::string, std::less<>> known{std::string(customer)};
        auto buckets = std::make_unique<slot_buckets>(full, known);
        buckets->configure(m_limits, fleet_slots, m_clock.now());
        return buckets;
    }

    void admit() { m_admitted.push_back(m_clock.now()); }

    manual_clock m_clock;
    customer_limits m_limits;
    std::vector<std::unique_ptr<slot_buckets>> m_slots;
    std::vector<time_point> m_admitted;
};

void check_conservation() {
    property("all slots together admit at most rate * t + burst in every time span", [] {
        const double rate = *rc::gen::inRange(1, 100);
        const double burst = *rc::gen::inRange(1, 60);
        fleet f(rate, burst);
        const int steps = *rc::gen::inRange(1, 300);
        for (int s = 0; s < steps; ++s) {
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                f.advance_time(milliseconds(*rc::gen::inRange(0, 400)));
                break;
            case 1:
            case 2:
                f.acquire_whole(*rc::gen::inRange<std::size_t>(0, fleet_slots));
                break;
            case 3:
                f.acquire_fractions(*rc::gen::inRange(0U, 256U),
                                    milliseconds(*rc::gen::inRange(0, max_flight_ms)),
                                    milliseconds(*rc::gen::inRange(0, 600)));
                break;
            default:
                f.take_over(*rc::gen::inRange<std::size_t>(0, fleet_slots));
            }
        }
        RC_ASSERT(f.within_limit());
    });
}

void check_new_customers() {
    manual_clock clock;
    slot_buckets taken_over(false, {"old"});
    const customer_limits limits{{"old", {8, 80}}, {"new", {8, 80}}};
    taken_over.configure(limits, fleet_slots, clock.now());
    require(taken_over.balance("old", clock.now()) == 0,
            "the bucket of a known customer starts empty in a slot that was taken over");
    require(taken_over.balance("new", clock.now()) == 10,
            "the bucket of a customer added after the claim starts full");
    taken_over.acquire("new", 10, false, clock.now());
    taken_over.configure({{"old", {8, 80}}}, fleet_slots, clock.now());
    taken_over.configure(limits, fleet_slots, clock.now());
    require(taken_over.balance("new", clock.now()) == 0,
            "the bucket of a customer that was removed and added again does not start full");
}

void check_authority() {
    manual_clock clock;
    authority slot_authority;
    slot_authority.claim(0, 1, clock.now());
    for (int i = 0; i < 100; ++i) {
        clock.advance(milliseconds(100));
        require(slot_authority.may_use(clock.now()),
                "a holder that calls tick() in time may use its slot");
    }
    clock.advance(seconds(30));
    require(!slot_authority.may_use(clock.now()),
            "a holder may not use its slot after a pause of 30 s");
    slot_authority.tick(clock.now());
    require(slot_authority.pauses() == 1, "a pause detected by may_use() is counted exactly once");
    const time_point before_pause = clock.now() - seconds(30);
    slot_authority.confirm(1, before_pause);
    require(!slot_authority.may_use(clock.now()),
            "the answer to a query sent before the pause does not restore the authority");
    slot_authority.confirm(1, clock.now());
    require(slot_authority.may_use(clock.now()),
            "the answer to a query sent after the pause restores the authority");
    slot_authority.revoke();
    require(!slot_authority.may_use(clock.now()), "a revoked slot may not be used");
}

} // namespace

int main() {
    check_conservation();
    check_new_customers();
    check_authority();
    return eelgrassdoor::test::finish();
}
