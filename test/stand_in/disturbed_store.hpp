/// \file
/// Defines a connection to a key-value store that a test can cut or delay.
#pragma once

#include "net/notification.hpp"
#include "store/kv_store.hpp"

#include <functional>
#include <string>
#include <utility>

namespace eelgrassdoor::test {

/// The kinds of calls that a test may disturb apart from each other.
enum class store_call { get, list, watch, commit, lease };
/// What happens to calls: they fail at once without effect, or their responses come when the
/// disturbance has ended.
enum class store_fault { none, fails, stalls };
/// The disturbance of calls of one kind at this moment.
using store_fault_fn = std::function<store_fault(store_call)>;

/// Makes a call through a disturbed connection. \p inner makes it at the store.
template <typename Result>
net::task<result<Result>> call_disturbed(store_fault_fn fault, store_call kind,
                                         std::function<net::task<result<Result>>()> inner) {
    const error cut{error_code::unavailable, "the store is cut off", run_state::not_run};
    if (fault(kind) == store_fault::fails) {
        co_return cut;
    }
    result<Result> response = co_await inner();
    net::notification step(co_await net::asio::this_coro::executor);
    while (fault(kind) == store_fault::stalls) {
        co_await step.wait_until(steady_clock()() + milliseconds(5));
    }
    // A call that has waited into the cut gets no response.
    if (fault(kind) == store_fault::fails) {
        co_return cut;
    }
    co_return response;
}

/// Returns an interface to \p inner whose calls are disturbed as \p fault tells.
inline store::kv_store make_disturbed(store::kv_store inner, store_fault_fn fault) {
    using namespace store;
    kv_store out;
    out.get = [=](std::string key, consistency how) -> kv_store::reply<std::optional<kv_item>> {
        const std::function<kv_store::reply<std::optional<kv_item>>()> call = [&] {
            return inner.get(key, how);
        };
        co_return co_await call_disturbed<std::optional<kv_item>>(fault, store_call::get, call);
    };
    out.list = [=](std::string prefix, std::string after,
                   consistency how) -> kv_store::reply<kv_page> {
        const std::function<kv_store::reply<kv_page>()> call = [&] {
            return inner.list(prefix, after, how);
        };
        co_return co_await call_disturbed<kv_page>(fault, store_call::list, call);
    };
    out.watch = [=](std::string prefix, std::uint64_t revision,
                    duration wait) -> kv_store::reply<watch_outcome> {
        const std::function<kv_store::reply<watch_outcome>()> call = [&] {
            return inner.watch(prefix, revision, wait);
        };
        co_return co_await call_disturbed<watch_outcome>(fault, store_call::watch, call);
    };
    out.commit = [=](kv_transaction change) -> kv_store::reply<commit_outcome> {
        const std::function<kv_store::reply<commit_outcome>()> call = [&] {
            return inner.commit(change);
        };
        co_return co_await call_disturbed<commit_outcome>(fault, store_call::commit, call);
    };
    out.grant_lease = [=](duration ttl) -> kv_store::reply<kv_lease> {
        const std::function<kv_store::reply<kv_lease>()> call = [&] {
            return inner.grant_lease(ttl);
        };
        co_return co_await call_disturbed<kv_lease>(fault, store_call::lease, call);
    };
    out.renew_lease = [=](std::uint64_t lease) -> kv_store::reply<bool> {
        const std::function<kv_store::reply<bool>()> call = [&] {
            return inner.renew_lease(lease);
        };
        co_return co_await call_disturbed<bool>(fault, store_call::lease, call);
    };
    out.end_lease = [=](std::uint64_t lease) -> kv_store::reply<bool> {
        const std::function<kv_store::reply<bool>()> call = [&] { return inner.end_lease(lease); };
        co_return co_await call_disturbed<bool>(fault, store_call::lease, call);
    };
    return out;
}

} // namespace eelgrassdoor::test
