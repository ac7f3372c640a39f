/// \file
/// Which daemon is named as the owner of a job without asking the store.
#include "check.hpp"
#include "jobs/owner_cache.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::jobs;
using eelgrassdoor::test::require;

fleet::member daemon(const std::string& host, std::uint64_t incarnation) {
    return {.host = host, .endpoint = host + ":1", .incarnation = incarnation};
}

job_state owned_by(const std::string& host, std::uint64_t incarnation) {
    return {.job = "j", .owner = host, .owner_incarnation = incarnation};
}

void check_named_owner() {
    owner_memory memory("self");
    const fleet::member_map members{{"a", daemon("a", 1)}, {"b", daemon("b", 1)}};
    const auto all = [](std::string_view /*host*/) { return true; };
    require(!memory.endpoint_of("j", members, all), "an unknown job names nobody");
    memory.note(owned_by("a", 1));
    require(memory.endpoint_of("j", members, all) == "a:1", "the owner of the record is named");
    memory.note(owned_by("b", 1));
    require(memory.endpoint_of("j", members, all) == "b:1", "a newer record replaces it");
    memory.note(owned_by("self", 1));
    require(!memory.endpoint_of("j", members, all), "this daemon is never named");
}

void check_lost_owner() {
    owner_memory memory("self");
    const auto all = [](std::string_view /*host*/) { return true; };
    const auto none = [](std::string_view /*host*/) { return false; };
    memory.note(owned_by("a", 1));
    const fleet::member_map same{{"a", daemon("a", 1)}};
    require(!memory.endpoint_of("j", same, none), "a silent owner is not named");
    require(!memory.endpoint_of("j", {}, all), "nor one that is not registered");
    const fleet::member_map restarted{{"a", daemon("a", 2)}};
    require(!memory.endpoint_of("j", restarted, all), "nor a later start of it");
    require(memory.endpoint_of("j", same, all) == "a:1", "until it is heard again");
}

void check_bound() {
    owner_memory memory("self");
    const fleet::member_map members{{"a", daemon("a", 1)}};
    const auto all = [](std::string_view /*host*/) { return true; };
    for (std::size_t i = 0; i <= owner_memory::max_jobs; ++i) {
        job_state state = owned_by("a", 1);
        state.job = std::to_string(i);
        memory.note(state);
    }
    require(!memory.endpoint_of("0", members, all), "a full memory is emptied");
    require(memory.endpoint_of(std::to_string(owner_memory::max_jobs), members, all).has_value(),
            "and goes on with the newest job");
}

} // namespace

int main() {
    check_named_owner();
    check_lost_owner();
    check_bound();
    return eelgrassdoor::test::finish();
}
