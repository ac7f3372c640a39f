#include "soak/connection_owner.hpp"

#include "base/text.hpp"

#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <filesystem>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace eelgrassdoor::test {

namespace {

constexpr std::uint32_t all_states = ~0U;

struct diag_request {
    nlmsghdr header;
    inet_diag_req_v2 body;
};

struct diag_response {
    nlmsghdr header;
    inet_diag_msg body;
    /// Attributes, which are not read.
    std::array<char, 512> rest;
};

} // namespace

socket_inode find_socket(const net::tcp::endpoint& local, const net::tcp::endpoint& remote) {
    diag_request request{};
    request.header = {.nlmsg_len = sizeof(request),
                      .nlmsg_type = SOCK_DIAG_BY_FAMILY,
                      .nlmsg_flags = NLM_F_REQUEST,
                      .nlmsg_seq = 0,
                      .nlmsg_pid = 0};
    request.body.sdiag_family = AF_INET;
    request.body.sdiag_protocol = IPPROTO_TCP;
    request.body.idiag_states = all_states;
    request.body.id.idiag_sport = htons(local.port());
    request.body.id.idiag_dport = htons(remote.port());
    request.body.id.idiag_src[0] = htonl(local.address().to_v4().to_uint());
    request.body.id.idiag_dst[0] = htonl(remote.address().to_v4().to_uint());
    request.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    request.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    diag_response response{};
    const int kernel = ::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    const bool found = kernel >= 0 && ::send(kernel, &request, sizeof(request), 0) > 0 &&
                       ::recv(kernel, &response, sizeof(response), 0) > 0 &&
                       response.header.nlmsg_type == SOCK_DIAG_BY_FAMILY;
    if (kernel >= 0) {
        ::close(kernel);
    }
    return found ? response.body.idiag_inode : 0;
}

std::set<socket_inode> sockets_of(pid_t pid) {
    std::set<socket_inode> out;
    std::error_code ec;
    std::filesystem::directory_iterator each(str_cat("/proc/", pid, "/fd"), ec);
    for (; !ec && each != std::filesystem::directory_iterator(); each.increment(ec)) {
        // The process may close a descriptor meanwhile.
        std::error_code closed;
        const std::string target = std::filesystem::read_symlink(each->path(), closed).string();
        std::string_view text = target;
        socket_inode inode = 0;
        if (consume_prefix(text, "socket:[") && parse_int(text.substr(0, text.size() - 1), inode)) {
            out.insert(inode);
        }
    }
    return out;
}

} // namespace eelgrassdoor::test
