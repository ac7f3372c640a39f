/// \file
/// No customer gets more than rate * t + burst over all parts together, whatever is lost, late,
/// killed, taken over or frozen.
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

constexpr std::size_t parts = 8;
constexpr std::string_view customer = "c";
/// Two rounds of questions end within this time, below part_table::loan_time.
constexpr int longest_flight_ms = 240;

/// The holders of one customer's parts, and every admission so far.
class fleet {
public:
    fleet(double rate, double burst) : m_limits{{std::string(customer), {rate, burst}}} {
        for (std::size_t i = 0; i < parts; ++i) {
            m_parts.push_back(make_part(true));
        }
    }

    void pass(duration step) { m_clock.advance(step); }

    void ask_whole(std::size_t i) {
        const grant g = m_parts[i]->ask(customer, 1, false, m_clock.now());
        if (g.amount > 0) {
            admit();
        }
    }

    /// Takes whatever the parts have.
    void drain() {
        for (auto& part : m_parts) {
            while (part->ask(customer, 1, false, m_clock.now()).amount > 0) {
                admit();
            }
        }
    }

    /// Collects fractions. Each answer may be lost; the token is used after \p flight, while
    /// others go on, and the rest may come back late.
    void ask_fractions(unsigned lost_mask, duration flight, duration late) {
        double sum = 0;
        std::vector<std::pair<std::size_t, grant>> loans;
        for (std::size_t i = 0; i < parts; ++i) {
            const grant g = m_parts[i]->ask(customer, 1, true, m_clock.now());
            if ((lost_mask >> i & 1U) == 0) {
                sum += g.amount;
                loans.emplace_back(i, g);
            }
        }
        pass(flight);
        double needed = sum >= 1 ? 1 : 0;
        if (needed > 0) {
            admit();
            drain();
        }
        pass(late);
        for (const auto& [i, g] : loans) {
            const double used = std::min(needed, g.amount);
            needed -= used;
            m_parts[i]->give_back(g.id, g.amount - used, m_clock.now());
            // A datagram that comes twice changes nothing.
            m_parts[i]->give_back(g.id, g.amount, m_clock.now());
        }
    }

    /// The holder is lost; the slot is taken over and begins empty.
    void take_over(std::size_t i) { m_parts[i] = make_part(false); }

    /// Whether every window between two admissions keeps rate * t + burst.
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
    std::unique_ptr<part_table> make_part(bool full) {
        std::set<std::string, std::less<>> known{std::string(customer)};
        auto part = std::make_unique<part_table>(full, known);
        part->configure(m_limits, parts, m_clock.now());
        return part;
    }

    void admit() { m_admitted.push_back(m_clock.now()); }

    manual_clock m_clock;
    customer_limits m_limits;
    std::vector<std::unique_ptr<part_table>> m_parts;
    std::vector<time_point> m_admitted;
};

void check_conservation() {
    property("admitted <= rate * t + burst in every window", [] {
        const double rate = *rc::gen::inRange(1, 100);
        const double burst = *rc::gen::inRange(1, 60);
        fleet f(rate, burst);
        const int steps = *rc::gen::inRange(1, 300);
        for (int s = 0; s < steps; ++s) {
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                f.pass(milliseconds(*rc::gen::inRange(0, 400)));
                break;
            case 1:
            case 2:
                f.ask_whole(*rc::gen::inRange<std::size_t>(0, parts));
                break;
            case 3:
                f.ask_fractions(*rc::gen::inRange(0U, 256U),
                                milliseconds(*rc::gen::inRange(0, longest_flight_ms)),
                                milliseconds(*rc::gen::inRange(0, 600)));
                break;
            default:
                f.take_over(*rc::gen::inRange<std::size_t>(0, parts));
            }
        }
        RC_ASSERT(f.within_limit());
    });
}

void check_new_customers() {
    manual_clock clock;
    part_table taken_over(false, {"old"});
    const customer_limits limits{{"old", {8, 80}}, {"new", {8, 80}}};
    taken_over.configure(limits, parts, clock.now());
    require(taken_over.balance("old", clock.now()) == 0, "a part taken over begins empty");
    require(taken_over.balance("new", clock.now()) == 10,
            "a customer that is newer than the claim begins full");
    taken_over.ask("new", 10, false, clock.now());
    taken_over.configure({{"old", {8, 80}}}, parts, clock.now());
    taken_over.configure(limits, parts, clock.now());
    require(taken_over.balance("new", clock.now()) == 0,
            "a customer that left and came back does not begin full again");
}

void check_authority() {
    manual_clock clock;
    authority right;
    right.claim(0, 1, clock.now());
    for (int i = 0; i < 100; ++i) {
        clock.advance(milliseconds(100));
        require(right.may_use(clock.now()), "a holder that ticks may use its slot");
    }
    clock.advance(seconds(30));
    require(!right.may_use(clock.now()), "a holder that was paused may not");
    right.tick(clock.now());
    require(right.pauses() == 1, "a pause that an ask noticed is still told");
    const time_point before_pause = clock.now() - seconds(30);
    right.confirm(1, before_pause);
    require(!right.may_use(clock.now()), "an answer asked for before the pause does not help");
    right.confirm(1, clock.now());
    require(right.may_use(clock.now()), "one asked for after it does");
    right.lose();
    require(!right.may_use(clock.now()), "a lost slot is not used");
}

} // namespace

int main() {
    check_conservation();
    check_new_customers();
    check_authority();
    return eelgrassdoor::test::finish();
}
