#include "http/client_pool.hpp"

#include "base/text.hpp"

#include <httplib.h>

#include <utility>

namespace eelgrassdoor::http {

endpoint endpoint::parse(std::string_view text) {
    consume_prefix(text, "http://");
    text = text.substr(0, text.find('/'));
    const std::size_t colon = text.rfind(':');
    endpoint out;
    if (colon == std::string_view::npos || !parse_int(text.substr(colon + 1), out.port)) {
        out.port = 0;
        return out;
    }
    out.address = std::string(text.substr(0, colon));
    return out;
}

client_pool::client_pool(std::string_view url, client_options options, clock_fn clock)
    : m_endpoint(endpoint::parse(url)), m_options(options), m_clock(std::move(clock)) {}

client_pool::~client_pool() = default;

client_pool::lease::lease(client_pool* pool, std::unique_ptr<httplib::Client> client,
                          time_point created_at)
    : m_pool(pool), m_client(std::move(client)), m_created_at(created_at) {}

client_pool::lease::lease(lease&&) noexcept = default;

client_pool::lease::~lease() = default;

void client_pool::lease::return_to_pool() {
    const time_point now = m_pool->m_clock();
    if (now - m_created_at < m_pool->m_options.max_age) {
        const absl::MutexLock lock(&m_pool->m_mutex);
        m_pool->m_idle.push_back({std::move(m_client), m_created_at, now});
    }
}

client_pool::lease client_pool::acquire() {
    const time_point now = m_clock();
    const absl::MutexLock lock(&m_mutex);
    while (!m_idle.empty()) {
        idle_client idle = std::move(m_idle.back());
        m_idle.pop_back();
        if (now - idle.idle_since < m_options.max_idle_time &&
            now - idle.created_at < m_options.max_age) {
            return {this, std::move(idle.client), idle.created_at};
        }
    }
    return {this, make_client(), now};
}

client_pool::lease client_pool::acquire_new() {
    return {this, make_client(), m_clock()};
}

std::unique_ptr<httplib::Client> client_pool::make_client() const {
    auto client = std::make_unique<httplib::Client>(m_endpoint.address, m_endpoint.port);
    client->set_connection_timeout(m_options.connect_timeout);
    client->set_read_timeout(m_options.read_timeout);
    client->set_write_timeout(m_options.read_timeout);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    return client;
}

} // namespace eelgrassdoor::http
