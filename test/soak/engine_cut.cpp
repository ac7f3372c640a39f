#include "soak/engine_cut.hpp"

#include "base/random_source.hpp"
#include "net/endpoint.hpp"

#include <array>
#include <utility>

namespace eelgrassdoor::test {

namespace {

constexpr std::size_t buffer_size = 16 * 1024;

std::set<socket_inode> sockets_of_all(const std::vector<daemon_process*>& daemons) {
    std::set<socket_inode> out;
    for (const daemon_process* each : daemons) {
        out.merge(sockets_of(each->pid()));
    }
    return out;
}

/// Closes with a reset.
void reset(net::tcp::socket& socket) {
    net::io_error ignored;
    socket.set_option(net::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

engine_cut::link::link(net::tcp::socket accepted)
    : client(std::move(accepted)), engine(client.get_executor()),
      released(client.get_executor(), net::asio::steady_timer::time_point::max()) {
    net::io_error ec;
    const net::tcp::endpoint own = client.local_endpoint(ec);
    const net::tcp::endpoint peer = client.remote_endpoint(ec);
    if (!ec) {
        opened_by = find_socket(peer, own);
    }
    client.set_option(net::tcp::no_delay(true), ec);
}

bool engine_cut::add_proxy(const std::string& endpoint, const std::string& engine) {
    const result<net::tcp::endpoint> own = net::parse_endpoint(endpoint);
    const result<net::tcp::endpoint> target = net::parse_endpoint(engine);
    if (!own || !target) {
        return false;
    }
    auto acceptor = std::make_shared<net::tcp::acceptor>(m_executor, own.value().protocol());
    net::io_error ec;
    acceptor->set_option(net::asio::socket_base::reuse_address(true), ec);
    acceptor->bind(own.value(), ec);
    if (!ec) {
        acceptor->listen(net::asio::socket_base::max_listen_connections, ec);
    }
    if (!ec) {
        net::asio::co_spawn(m_executor, accept(std::move(acceptor), target.value()),
                            net::asio::detached);
    }
    return !ec;
}

void engine_cut::begin(std::vector<daemon_process*> daemons, cut_mode mode) {
    m_daemons = std::move(daemons);
    m_mode = mode;
    const std::set<socket_inode> owned = cut_sockets();
    std::erase_if(m_links, [&](const std::weak_ptr<engine_cut::link>& each) {
        const link_ptr link = each.lock();
        if (!link || mode == cut_mode::refuse || owned.count(link->opened_by) == 0) {
            return !link;
        }
        if (mode == cut_mode::reset) {
            reset(*link);
        } else {
            link->is_held = true;
        }
        // No later cut brings a silent connection back.
        return mode == cut_mode::silence;
    });
    if (mode == cut_mode::silence) {
        m_daemons.clear();
    }
}

int engine_cut::end_connections(const std::vector<daemon_process*>& daemons, cut_mode mode,
                                std::uint64_t seed) {
    const std::set<socket_inode> owned = sockets_of_all(daemons);
    random_source random(seed);
    int ended = 0;
    std::erase_if(m_links, [&](const std::weak_ptr<engine_cut::link>& each) {
        const link_ptr link = each.lock();
        if (!link || owned.count(link->opened_by) == 0) {
            return !link;
        }
        if (mode == cut_mode::end_half && random.below(2) == 0) {
            return false;
        }
        close_in_order(*link);
        ++ended;
        return true;
    });
    return ended;
}

void engine_cut::end() {
    if (m_mode == cut_mode::hang) {
        for (const auto& each : m_links) {
            const link_ptr link = each.lock();
            if (link) {
                link->is_held = false;
                link->released.cancel();
            }
        }
    }
    m_daemons.clear();
}

std::set<socket_inode> engine_cut::cut_sockets() const {
    return sockets_of_all(m_daemons);
}

void engine_cut::reset(link& link) {
    test::reset(link.client);
    test::reset(link.engine);
    link.is_held = false;
    link.released.cancel();
}

void engine_cut::close_in_order(link& link) {
    // Both ends are still read from: closing with unread bytes would reset the connections.
    link.is_ended = true;
    net::io_error ignored;
    link.client.shutdown(net::tcp::socket::shutdown_send, ignored);
    link.engine.shutdown(net::tcp::socket::shutdown_send, ignored);
}

net::task<> engine_cut::accept(std::shared_ptr<net::tcp::acceptor> acceptor,
                               net::tcp::endpoint engine) {
    for (;;) {
        net::io_error ec;
        net::tcp::socket accepted = co_await acceptor->async_accept(net::store_error(ec));
        if (ec) {
            continue;
        }
        auto link = std::make_shared<engine_cut::link>(std::move(accepted));
        if (!m_daemons.empty() && cut_sockets().count(link->opened_by) != 0) {
            if (m_mode != cut_mode::hang) {
                reset(*link);
                continue;
            }
            link->is_held = true;
        }
        m_links.push_back(link);
        net::asio::co_spawn(m_executor, run(std::move(link), engine), net::asio::detached);
    }
}

net::task<> engine_cut::wait_until_released(link_ptr link) {
    while (link->is_held) {
        net::io_error cancelled;
        co_await link->released.async_wait(net::store_error(cancelled));
    }
}

net::task<> engine_cut::run(link_ptr link, net::tcp::endpoint engine) {
    co_await wait_until_released(link);
    net::io_error ec;
    co_await link->engine.async_connect(engine, net::store_error(ec));
    if (ec || !link->client.is_open()) {
        reset(*link);
        co_return;
    }
    link->engine.set_option(net::tcp::no_delay(true), ec);
    if (link->is_ended) {
        close_in_order(*link);
    }
    net::asio::co_spawn(m_executor, pass_on(link, link->client, link->engine), net::asio::detached);
    co_await pass_on(link, link->engine, link->client);
}

net::task<> engine_cut::pass_on(link_ptr link, net::tcp::socket& from, net::tcp::socket& to) {
    std::array<char, buffer_size> bytes{};
    for (;;) {
        net::io_error ec;
        const auto space = net::asio::buffer(bytes);
        const std::size_t size = co_await from.async_read_some(space, net::store_error(ec));
        co_await wait_until_released(link);
        if (ec == net::asio::error::eof) {
            to.shutdown(net::tcp::socket::shutdown_send, ec);
            co_return;
        }
        const auto part = net::asio::buffer(bytes.data(), size);
        if (!ec && !link->is_ended) {
            co_await net::asio::async_write(to, part, net::store_error(ec));
            ec = link->is_ended ? net::io_error() : ec;
        }
        if (ec) {
            reset(*link);
            co_return;
        }
    }
}

} // namespace eelgrassdoor::test
