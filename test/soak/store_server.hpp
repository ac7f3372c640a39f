/// \file
/// Defines a stand-in of the platform's store that daemons reach over HTTP.
#pragma once

#include "net/http_server.hpp"
#include "stand_in/memory_store.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace eelgrassdoor::test {

/// How the store treats calls.
enum class store_state {
    sound,
    /// Answers each call late.
    slow,
    /// Refuses each call as not done.
    refusing,
    /// Gives no answer and carries nothing out.
    silent,
};

/// Serves a memory_store with the calls of the platform's store, and ends leases that are not
/// renewed. While the store is not sound, leases do not run.
class store_server {
public:
    store_server(net::asio::any_io_executor executor, std::string endpoint);

    /// Listens on the endpoint. Returns false when that is not possible.
    bool start();
    void set_state(store_state state) { m_state = state; }
    memory_store& memory() { return m_memory; }

private:
    net::task<> handle(net::server_exchange& exchange);
    net::task<net::http_response> respond(net::http_request request);
    net::task<net::http_response> read_key(net::http_request request);
    net::task<net::http_response> read_range(net::http_request request);
    net::task<net::http_response> watch(net::http_request request);
    net::task<net::http_response> commit(net::http_request request);
    net::task<net::http_response> grant_lease(net::http_request request);
    net::task<net::http_response> renew_lease(std::uint64_t lease);
    net::task<net::http_response> end_lease(std::uint64_t lease);
    net::task<> end_expired_leases();
    net::task<> wait(duration time);

    struct lease {
        duration ttl{};
        time_point ends_at{};
    };

    net::asio::any_io_executor m_executor;
    memory_store m_memory;
    store::kv_store m_store;
    store_state m_state = store_state::sound;
    std::map<std::uint64_t, lease> m_leases;
    net::http_server m_server;
};

} // namespace eelgrassdoor::test
