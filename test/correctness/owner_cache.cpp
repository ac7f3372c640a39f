/// \file
/// Tests which daemon the cache returns as the owner of a job.
#include "jobs/owner_cache.hpp"

#include "check.hpp"

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
    owner_cache cache("self");
    const fleet::member_map members{{"a", daemon("a", 1)}, {"b", daemon("b", 1)}};
    const auto all = [](std::string_view /*host*/) { return true; };
    require(!cache.endpoint_of("j", members, all),
            "no endpoint is returned for a job that is not cached");
    cache.record(owned_by("a", 1));
    require(cache.endpoint_of("j", members, all) == "a:1",
            "the endpoint of the recorded owner is returned");
    cache.record(owned_by("b", 1));
    require(cache.endpoint_of("j", members, all) == "b:1",
            "a later record replaces the cached owner");
    cache.record(owned_by("self", 1));
    require(!cache.endpoint_of("j", members, all),
            "no endpoint is returned when this daemon is the owner");
}

void check_lost_owner() {
    owner_cache cache("self");
    const auto all = [](std::string_view /*host*/) { return true; };
    const auto none = [](std::string_view /*host*/) { return false; };
    cache.record(owned_by("a", 1));
    const fleet::member_map same{{"a", daemon("a", 1)}};
    require(!cache.endpoint_of("j", same, none),
            "no endpoint is returned for an unreachable owner");
    require(!cache.endpoint_of("j", {}, all),
            "no endpoint is returned for an owner that is not a member");
    const fleet::member_map restarted{{"a", daemon("a", 2)}};
    require(!cache.endpoint_of("j", restarted, all),
            "no endpoint is returned for another incarnation of the owner");
    require(cache.endpoint_of("j", same, all) == "a:1",
            "the endpoint is returned again when the owner is reachable");
}

void check_capacity() {
    owner_cache cache("self");
    const fleet::member_map members{{"a", daemon("a", 1)}};
    const auto all = [](std::string_view /*host*/) { return true; };
    for (std::size_t i = 0; i <= owner_cache::max_jobs; ++i) {
        job_state state = owned_by("a", 1);
        state.job = std::to_string(i);
        cache.record(state);
    }
    require(!cache.endpoint_of("0", members, all),
            "the cache is cleared when a job exceeds its capacity");
    require(cache.endpoint_of(std::to_string(owner_cache::max_jobs), members, all).has_value(),
            "the job that exceeded the capacity is cached");
}

} // namespace

int main() {
    check_named_owner();
    check_lost_owner();
    check_capacity();
    return eelgrassdoor::test::finish();
}
