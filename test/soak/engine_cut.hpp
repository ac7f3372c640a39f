/// \file
/// Defines proxies in front of the engines that cut single daemons off or end their connections.
#pragma once

#include "net/asio.hpp"
#include "soak/connection_owner.hpp"
#include "soak/daemon_process.hpp"

#include <cstdint>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// What becomes of a daemon's connections to all engines.
enum class cut_mode {
    /// They carry nothing until the cut ends; new ones open, and carry nothing either.
    hang,
    /// They are reset, new ones too.
    reset,
    /// They live on, and new ones are reset.
    refuse,
    /// They never carry anything again, and new ones work.
    silence,
    /// They end in order, at both ends, and new ones work.
    end_all,
    /// The same for a random half of them; the others live on.
    end_half,
};

/// Whether the cut is over once the daemons' present connections have ended.
[[nodiscard]] constexpr bool ends_connections(cut_mode mode) {
    return mode == cut_mode::end_all || mode == cut_mode::end_half;
}

/// Passes connections on to engines, but for those of the daemons that are cut off. Daemons share
/// one address, so the owner of a connection is looked up at the operating system. Must outlive the
/// event loop's handlers. Not thread-safe.
class engine_cut {
public:
    explicit engine_cut(net::asio::any_io_executor executor) : m_executor(std::move(executor)) {}

    /// Passes connections to \p endpoint (`IP:PORT`) on to \p engine. Returns false when it can't
    /// listen.
    bool add_proxy(const std::string& endpoint, const std::string& engine);
    /// Cuts \p daemons off until end(); one cut at a time. Cuts that leave new connections alone
    /// need no end.
    void begin(std::vector<daemon_process*> daemons, cut_mode mode);
    /// Ends present connections of \p daemons in order; \p mode says which, and \p seed chooses
    /// them. Returns their number.
    int end_connections(const std::vector<daemon_process*>& daemons, cut_mode mode,
                        std::uint64_t seed);
    void end();

private:
    struct link {
        explicit link(net::tcp::socket accepted);

        net::tcp::socket client;
        net::tcp::socket engine;
        /// The socket of the process that has opened the connection.
        socket_inode opened_by = 0;
        bool is_held = false;
        /// Whether it has been closed in order; what still arrives is dropped.
        bool is_ended = false;
        /// Cancelled when the link is not held any more.
        net::asio::steady_timer released;
    };
    using link_ptr = std::shared_ptr<link>;

    net::task<> accept(std::shared_ptr<net::tcp::acceptor> acceptor, net::tcp::endpoint engine);
    net::task<> run(link_ptr link, net::tcp::endpoint engine);
    net::task<> pass_on(link_ptr link, net::tcp::socket& from, net::tcp::socket& to);
    static net::task<> wait_until_released(link_ptr link);
    static void reset(link& link);
    static void close_in_order(link& link);
    /// The sockets of the daemons that are cut off.
    [[nodiscard]] std::set<socket_inode> cut_sockets() const;

    net::asio::any_io_executor m_executor;
    std::list<std::weak_ptr<link>> m_links;
    std::vector<daemon_process*> m_daemons;
    cut_mode m_mode = cut_mode::hang;
};

} // namespace eelgrassdoor::test
