#include "soak/datagram_filter.hpp"

#include "base/text.hpp"

#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <limits>
#include <linux/filter.h>
#include <string>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>
#include <vector>

namespace eelgrassdoor::test {

namespace {

/// Offset of the sender's address in the header of an IPv4 packet.
constexpr int sender_offset = 12;
constexpr std::uint32_t drop = 0;
constexpr std::uint32_t pass = std::numeric_limits<std::uint32_t>::max();

constexpr std::uint32_t network_header = static_cast<std::uint32_t>(SKF_NET_OFF);

/// Whether a call on a process failed because there is none.
bool has_ended(int error) {
    return error == ESRCH || error == EINVAL;
}

bool is_udp(int socket) {
    int type = 0;
    int domain = 0;
    socklen_t size = sizeof(type);
    return ::getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_DGRAM &&
           ::getsockopt(socket, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == AF_INET;
}

/// Calls \p apply with a duplicate of each UDP socket of the process. Returns false when the kernel
/// does not permit that or a call returns false.
bool for_each_udp_socket(pid_t pid, const std::function<bool(int socket)>& apply) {
    const int process = static_cast<int>(::syscall(SYS_pidfd_open, pid, 0));
    if (process < 0) {
        return has_ended(errno);
    }
    bool applied = true;
    std::error_code ec;
    std::filesystem::directory_iterator each(str_cat("/proc/", pid, "/fd"), ec);
    for (; !ec && each != std::filesystem::directory_iterator(); each.increment(ec)) {
        int number = 0;
        const std::string name = each->path().filename().string();
        if (!parse_int(name, number)) {
            continue;
        }
        const int socket = static_cast<int>(::syscall(SYS_pidfd_getfd, process, number, 0));
        if (socket < 0) {
            // The process may close a descriptor meanwhile.
            applied = applied && (errno == EBADF || has_ended(errno));
            continue;
        }
        applied = (!is_udp(socket) || apply(socket)) && applied;
        ::close(socket);
    }
    ::close(process);
    return applied;
}

} // namespace

bool drop_datagrams(pid_t pid, std::optional<net::asio::ip::address_v4> sender) {
    std::vector<sock_filter> code;
    if (sender) {
        code = {BPF_STMT(BPF_LD | BPF_W | BPF_ABS, network_header + sender_offset),
                BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, sender->to_uint(), 0, 1),
                BPF_STMT(BPF_RET | BPF_K, drop), BPF_STMT(BPF_RET | BPF_K, pass)};
    } else {
        code = {BPF_STMT(BPF_RET | BPF_K, drop)};
    }
    const sock_fprog program{.len = static_cast<unsigned short>(code.size()),
                             .filter = code.data()};
    return for_each_udp_socket(pid, [&](int socket) {
        return ::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0;
    });
}

bool pass_datagrams(pid_t pid) {
    return for_each_udp_socket(pid, [](int socket) {
        const int unused = 0;
        return ::setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused)) == 0 ||
               errno == ENOENT;
    });
}

} // namespace eelgrassdoor::test
