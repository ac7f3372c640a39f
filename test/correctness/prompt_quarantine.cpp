/// \file
/// Replays targets that crash on one prompt segment: the segment must be found by the fleet, and
/// segments that sound requests share, or that a lost zone took with it, must not be blamed.
#include "routing/prompt_quarantine.hpp"

#include "base/digest.hpp"
#include "check.hpp"
#include "fleet/message.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::routing;
using eelgrassdoor::test::require;

constexpr std::uint64_t shared_segment = 1;
constexpr std::uint64_t fatal_segment = 2;
constexpr std::uint64_t sound_segment = 3;

const std::vector<std::uint64_t> fatal_prompt{shared_segment, fatal_segment};
const std::vector<std::uint64_t> sound_prompt{shared_segment, sound_segment};

/// Daemons that exchange their evidence at each step.
class fleet_model {
public:
    explicit fleet_model(std::size_t daemons) : m_daemons(daemons) {}

    prompt_quarantine& daemon(std::size_t index) { return m_daemons[index % m_daemons.size()]; }
    void exchange(time_point now) {
        std::vector<std::vector<segment_evidence>> sent;
        for (prompt_quarantine& each : m_daemons) {
            sent.push_back(each.evidence(now));
        }
        for (std::size_t from = 0; from < m_daemons.size(); ++from) {
            for (std::size_t to = 0; to < m_daemons.size(); ++to) {
                if (from != to) {
                    m_daemons[to].merge(sent[from], now + delivery_delay);
                }
            }
        }
    }

private:
    static constexpr duration delivery_delay = milliseconds(20);
    std::vector<prompt_quarantine> m_daemons;
};

void check_fatal_segment() {
    fleet_model fleet(8);
    time_point now{};
    int crashes = 0;
    // Each fatal request crashes another target; sound ones are answered in between.
    for (std::size_t step = 0; step < 40; ++step) {
        now += milliseconds(100);
        fleet.daemon(step).record_served(sound_prompt, now);
        prompt_quarantine& receiver = fleet.daemon(step * 3);
        if (!receiver.time_left(fatal_prompt, now)) {
            receiver.record_crash(fatal_prompt, 100 + step, now);
            ++crashes;
        }
        now += milliseconds(30);
        fleet.exchange(now);
    }
    require(crashes <= 6, "the fleet stops sending the segment after a few crashes, " +
                              std::to_string(crashes) + " happened");
    for (std::size_t i = 0; i < 8; ++i) {
        require(fleet.daemon(i).time_left(fatal_prompt, now).has_value(),
                "every daemon knows the segment");
        require(!fleet.daemon(i).time_left(sound_prompt, now),
                "requests that share the first segment are not refused");
    }
}

void check_restarted_daemon() {
    prompt_quarantine observer;
    time_point now{};
    for (std::uint64_t target = 0; target < 3; ++target) {
        now += milliseconds(300);
        observer.record_crash(fatal_prompt, target, now);
    }
    require(observer.time_left(fatal_prompt, now).has_value(), "three crashes quarantine");
    prompt_quarantine relay;
    relay.merge(observer.evidence(now), now);
    prompt_quarantine restarted;
    restarted.merge(relay.evidence(now), now);
    require(restarted.time_left(fatal_prompt, now).has_value(),
            "a daemon that starts later learns the segment although its observer is gone");
    const time_point late = now + prompt_quarantine::quarantine_time + seconds(1);
    require(!restarted.time_left(fatal_prompt, late), "the quarantine ends");
}

void check_lost_zone() {
    prompt_quarantine daemon;
    time_point now{};
    // All targets of a zone are lost at once, with requests of the same session at several of them.
    for (std::uint64_t target = 0; target < 6; ++target) {
        daemon.record_crash(sound_prompt, target, now);
    }
    require(!daemon.time_left(sound_prompt, now), "one cause for many crashes is not blamed");
    now += milliseconds(200);
    daemon.record_served(sound_prompt, now);
    now += milliseconds(600);
    daemon.record_crash(sound_prompt, 50, now);
    require(!daemon.time_left(sound_prompt, now), "crashes before an answer no longer count");
}

void check_answer_elsewhere() {
    prompt_quarantine first;
    prompt_quarantine second;
    time_point now{};
    for (std::uint64_t target = 0; target < 3; ++target) {
        now += milliseconds(300);
        first.record_crash(sound_prompt, target, now);
    }
    require(first.time_left(sound_prompt, now).has_value(), "the segment is in quarantine");
    second.merge(first.evidence(now), now);
    now += seconds(1);
    require(second.record_served(sound_prompt, now), "an answer refutes the suspicion");
    second.merge(first.evidence(now), now);
    require(!second.time_left(sound_prompt, now), "crashes before an answer are not taken over");
    first.merge(second.evidence(now), now);
    require(!first.time_left(sound_prompt, now), "an answer ends the quarantine at all daemons");

    prompt_quarantine witness;
    witness.record_served(sound_prompt, now + seconds(1));
    require(witness.evidence(now + seconds(1)).empty(), "answers alone are not reported");
    prompt_quarantine observer;
    for (std::uint64_t target = 0; target < 3; ++target) {
        observer.record_crash(sound_prompt, target, now + milliseconds(300 * target));
    }
    now += seconds(1);
    witness.merge(observer.evidence(now), now);
    observer.merge(witness.evidence(now), now);
    require(!observer.time_left(sound_prompt, now),
            "a daemon whose target answered refutes the suspicion of another");
}

void check_single_crash_repeats() {
    prompt_quarantine daemon;
    time_point now{};
    for (int i = 0; i < 10; ++i) {
        now += seconds(1);
        daemon.record_crash(fatal_prompt, 7, now);
    }
    require(!daemon.time_left(fatal_prompt, now), "one target that crashes again is no evidence");
}

/// One request that comes again at other daemons, beside sound requests that wait at the same
/// targets and are answered by the next one.
void check_whole_requests() {
    constexpr std::uint64_t fatal_request = 77;
    const std::vector<std::uint64_t> fatal{fatal_request};
    std::vector<prompt_quarantine> daemons(8, prompt_quarantine(whole_request_rule));
    time_point now{};
    int crashes = 0;
    int sound_refused = 0;
    for (std::size_t step = 0; step < 40; ++step) {
        now += milliseconds(500);
        prompt_quarantine& receiver = daemons[step % daemons.size()];
        const std::vector<std::uint64_t> sound{1000 + step};
        if (!receiver.time_left(fatal, now)) {
            ++crashes;
            receiver.record_crash(fatal, step, now);
            receiver.record_crash(sound, step, now);
        }
        sound_refused += receiver.time_left(sound, now) ? 1 : 0;
        receiver.record_served(sound, now);
        const std::vector<segment_evidence> sent = receiver.evidence(now);
        for (prompt_quarantine& each : daemons) {
            each.merge(sent, now + milliseconds(20));
        }
    }
    require(crashes == 2, "a request is in quarantine at all daemons after two crashes");
    require(sound_refused == 0, "a request that waited at one of these targets is not");
}

void check_all_evidence_is_reported() {
    prompt_quarantine observer(whole_request_rule);
    prompt_quarantine other(whole_request_rule);
    time_point now{};
    constexpr std::uint64_t requests = 100;
    for (std::uint64_t request = 1; request <= requests; ++request) {
        now += milliseconds(10);
        observer.record_crash({&request, 1}, 2 * request, now);
        observer.record_crash({&request, 1}, 2 * request + 1, now);
    }
    std::vector<segment_evidence> first = observer.evidence(now);
    const bool has_latest = std::any_of(first.begin(), first.end(),
                                        [](const auto& each) { return each.segment == requests; });
    require(has_latest, "the latest crash is reported at once");
    for (int i = 0; i < 30; ++i) {
        other.merge(observer.evidence(now), now);
    }
    require(other.quarantined_count(now) == requests, "all crashes are reported in turn");
}

void check_reports() {
    const std::vector<segment_evidence> evidence{
        {fatal_segment, std::nullopt, milliseconds(900), {{11, milliseconds(700)}}},
        {sound_segment, milliseconds(5), milliseconds(40), {{12, milliseconds(30)}}}};
    fleet::load_digest digest;
    digest.host = "host";
    digest.sequence = 4;
    const std::string plain = peer::encode(digest);
    const std::string bytes = plain + peer::encode(fleet::to_reports(evidence));
    std::string_view rest = bytes;
    const auto front = peer::decode_front<fleet::load_digest>(rest);
    require(front && front->sequence == 4 && rest.size() == bytes.size() - plain.size(),
            "the digest is taken from the front of a datagram");
    const auto received = fleet::to_evidence(*peer::decode<fleet::segment_reports>(rest));
    require(received.size() == 2 && received[0].segment == fatal_segment &&
                !received[0].served_age && received[1].served_age == milliseconds(5) &&
                received[0].crashes == evidence[0].crashes &&
                received[0].first_crash_age == milliseconds(900),
            "reports arrive as they were sent");
    require(peer::decode<fleet::load_digest>(bytes)->sequence == 4,
            "a daemon of an older build reads the digest of a newer one");
    std::string_view old_bytes = plain;
    require(peer::decode_front<fleet::load_digest>(old_bytes) && old_bytes.empty(),
            "the digest of an older build has no reports");
}

/// Targets that crashed for another reason must get a request again before the quarantine is over.
void check_trials() {
    prompt_quarantine quarantine;
    const std::vector<std::uint64_t> prompt{fatal_segment};
    time_point now{};
    for (std::uint64_t target = 1; target <= 3; ++target) {
        now += milliseconds(400);
        quarantine.record_crash(prompt, target, now);
    }
    require(quarantine.time_left(prompt, now).has_value() && !quarantine.may_try(prompt, now),
            "no request is tried right after the crashes");
    now += prompt_quarantine::trial_interval;
    require(quarantine.may_try(prompt, now), "one is tried some time later");
    quarantine.record_trial(prompt, now);
    quarantine.record_crash(prompt, 4, now + milliseconds(200));
    require(!quarantine.may_try(prompt, now + seconds(60)),
            "and no more after it has crashed a target");
    quarantine.record_served(prompt, now + seconds(61));
    require(!quarantine.time_left(prompt, now + seconds(61)), "an answer ends the quarantine");
}

} // namespace

int main() {
    check_trials();
    check_fatal_segment();
    check_restarted_daemon();
    check_lost_zone();
    check_answer_elsewhere();
    check_single_crash_repeats();
    check_whole_requests();
    check_all_evidence_is_reported();
    check_reports();
    return eelgrassdoor::test::finish();
}
