/// \file
/// Guards against a use of the next owner's entry in the list of members after that has left, while
/// the store was asked to hand a job over to it. AddressSanitizer shows the use.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

class handover_checks {
public:
    handover_checks()
        : m_engine(m_fleet.add_engine("i-1")),
          m_runners({{"runner-1", &m_fleet.add_daemon("runner-1", false, true)},
                     {"runner-2", &m_fleet.add_daemon("runner-2", false, true)}}) {
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.configure(1);
        m_engine.set_default_action(engine_action::hang);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return check_owner_leaves(); });
    }

private:
    net::task<> submit(std::string job) {
        net::http_request request = daemon_fixture::request(job, "/j/x");
        request.body = R"({"items":[{"id":"item","path":"/j/x/1","headers":{"Model":"m"},)"
                       R"("body":"","tokens":10}]})";
        int status = 0;
        for (int i = 0; i < 300 && status != 202; ++i) {
            const auto got = co_await m_fleet.call(m_fleet.caller_endpoint("entry-1"), request);
            status = got.status;
        }
        require(status == 202, "the job is accepted");
    }
    [[nodiscard]] jobs::job_state stored_state(const std::string& job) const {
        const auto state =
            jobs::decode_state(m_fleet.memory.items().at(jobs::state_key(job)).value);
        require(state.has_value(), "the stored record of a job can be decoded");
        return *state;
    }
    [[nodiscard]] bool is_registered(const std::string& host) const {
        return m_fleet.memory.items().contains(str_cat(fleet::member_prefix, host));
    }

    /// The next owner leaves the fleet while the store is slow to confirm the hand-over to it. The
    /// job must go on once the host is back.
    net::task<> check_owner_leaves() {
        co_await submit("job");
        const std::string before = stored_state("job").owner;
        const std::string next = before == "runner-1" ? "runner-2" : "runner-1";
        bool hold = true;
        bool held = false;
        m_fleet.memory.delay_response = [&](const store::kv_transaction& change) {
            const bool is_handover =
                std::any_of(change.writes.begin(), change.writes.end(), [&](const auto& write) {
                    if (write.key != jobs::state_key("job")) {
                        return false;
                    }
                    const auto state = jobs::decode_state(write.value);
                    return state && state->owner == next;
                });
            held = held || is_handover;
            return hold && is_handover;
        };
        m_runners.at(before)->begin_shutdown();
        co_await m_fleet.eventually("the job is handed over", [&] { return held; });
        const std::string member_key = str_cat(fleet::member_prefix, next);
        const int reports = m_fleet.memory.reports_of(member_key);
        m_fleet.memory.erase(member_key);
        co_await m_fleet.eventually("the daemons learn that the next owner has left", [&] {
            return m_fleet.memory.reports_of(member_key) >= reports + 2;
        });
        const std::size_t runs = m_engine.received().size();
        hold = false;
        co_await m_fleet.eventually("the next owner registers again",
                                    [&] { return is_registered(next); });
        co_await m_fleet.eventually("the next owner runs the item",
                                    [&] { return m_engine.received().size() > runs; });
        m_fleet.memory.delay_response = [](const auto&) { return false; };
    }

    daemon_fixture m_fleet;
    scripted_engine& m_engine;
    std::map<std::string, host::fleet_daemon*> m_runners;
};

} // namespace

int main() {
    handover_checks().run();
}
