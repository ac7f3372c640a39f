/// \file
/// Guards against jobs that are refused because of tokens that waited at a daemon that is gone, and
/// against tokens that do not count while its jobs are being taken over.
#include "check.hpp"
#include "fleet/peer_table.hpp"
#include "jobs/job_owners.hpp"

namespace {

using namespace eelgrassdoor;
using eelgrassdoor::fleet::member_map;
using eelgrassdoor::test::require;

constexpr std::uint64_t customer_and_route = 7;

member_map members_of(std::initializer_list<std::pair<const char*, std::uint64_t>> list) {
    member_map out;
    for (const auto& [host, incarnation] : list) {
        out[host] = {.host = host, .incarnation = incarnation};
    }
    return out;
}

class token_checks {
public:
    void run() {
        report("gone", 1, 100);
        report("live", 1, 20);
        require(waiting() == 120, "the tokens of registered daemons count");
        m_registered = members_of({{"live", 1}});
        require(waiting() == 120,
                "the tokens of a daemon that is gone count until its jobs are taken over");
        m_owners.record_scan(members_of({{"gone", 1}, {"live", 1}}), {});
        require(waiting() == 120, "a scan that began while it was registered shows nothing");
        m_owners.record_scan(m_registered, {{"gone", 1}});
        require(waiting() == 120, "they count while one of its jobs is not taken over");
        report("live", 1, 110);
        m_owners.record_scan(m_registered, {});
        require(waiting() == 110, "they do not count once its jobs are taken over");
        report("gone", 1, 100);
        require(waiting() == 110,
                "a daemon that lost its registration and its jobs does not count, though it is "
                "heard");
        m_registered = members_of({{"gone", 1}, {"live", 1}});
        report("gone", 1, 5);
        require(waiting() == 115, "a daemon that has registered again counts");
        check_restart();
    }

private:
    void check_restart() {
        m_owners.record_scan(m_registered, {});
        m_registered = members_of({{"gone", 2}, {"live", 1}});
        report("gone", 2, 0);
        require(waiting() == 115,
                "the tokens of a restarted daemon count until its jobs are loaded again");
        m_owners.record_scan(m_registered, {});
        report("gone", 2, 5);
        require(waiting() == 115, "they count once after that");
    }

    void report(const char* host, std::uint64_t incarnation, std::uint64_t tokens) {
        fleet::load_digest digest;
        digest.host = host;
        digest.incarnation = incarnation;
        digest.sequence = ++m_sequence;
        if (tokens > 0) {
            digest.waiting = {{customer_and_route, tokens}};
        }
        m_peers.set_registered(m_registered);
        require(m_peers.accept(digest, m_now), "a digest is accepted");
    }
    [[nodiscard]] std::uint64_t waiting() const {
        return m_peers.sum_waiting_tokens(
            customer_and_route, [this](std::string_view host, std::uint64_t incarnation) {
                return m_owners.may_own_jobs(host, incarnation, m_registered);
            });
    }

    time_point m_now{};
    std::uint64_t m_sequence = 0;
    fleet::peer_table m_peers;
    jobs::job_owners m_owners;
    member_map m_registered = members_of({{"gone", 1}, {"live", 1}});
};

} // namespace

int main() {
    token_checks().run();
    return eelgrassdoor::test::finish();
}
