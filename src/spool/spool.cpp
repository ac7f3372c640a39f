#include "spool/spool.hpp"

#include "base/text.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace eelgrassdoor::spool {

namespace {

namespace fs = std::filesystem;

error disk_error(std::string_view path, int number) {
    return {error_code::unavailable,
            str_cat("file \"", path, "\" cannot be written: ", std::strerror(number)),
            run_state::not_run, seconds(5)};
}

/// An open file that closes itself.
class open_file {
public:
    open_file(const std::string& path, int flags) : m_fd(::open(path.c_str(), flags, 0644)) {}
    ~open_file() {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
    }
    open_file(const open_file&) = delete;
    open_file& operator=(const open_file&) = delete;
    [[nodiscard]] int fd() const { return m_fd; }

private:
    int m_fd;
};

bool write_all(int fd, std::string_view bytes, std::uint64_t offset) {
    while (!bytes.empty()) {
        const ssize_t written =
            ::pwrite(fd, bytes.data(), bytes.size(), static_cast<off_t>(offset));
        if (written < 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
        offset += static_cast<std::uint64_t>(written);
    }
    return true;
}

/// Makes a new folder entry last.
void sync_folder(const fs::path& folder) {
    const open_file f(folder.string(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (f.fd() >= 0) {
        ::fsync(f.fd());
    }
}

} // namespace

bool is_safe_name(std::string_view name) {
    return !name.empty() && name.size() <= 64 && std::ranges::all_of(name, [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-';
    });
}

spool::spool(std::string folder) : m_folder(std::move(folder)) {
    if (enabled()) {
        std::error_code ignored;
        fs::create_directories(m_folder, ignored);
    }
}

std::string spool::path(std::string_view storage, std::string_view file) const {
    return str_cat(m_folder, "/", storage, "/", file);
}

result<std::uint64_t> spool::write(std::string_view storage, std::string_view file,
                                   std::uint64_t offset, std::string_view bytes, bool sync) {
    const std::string where = path(storage, file);
    if (!enabled() || !is_safe_name(storage) || !is_safe_name(file)) {
        return disk_error(where, EINVAL);
    }
    std::error_code failed;
    const bool new_folder = fs::create_directories(fs::path(where).parent_path(), failed);
    const bool new_file = !fs::exists(where, failed);
    const open_file f(where, O_WRONLY | O_CREAT | O_CLOEXEC);
    struct stat info {};
    if (f.fd() < 0 || ::fstat(f.fd(), &info) != 0) {
        return disk_error(where, errno);
    }
    const auto size = static_cast<std::uint64_t>(info.st_size);
    if (size < offset) {
        return error{error_code::conflict,
                     str_cat("file \"", file, "\" has ", size, " bytes, expected ", offset),
                     run_state::not_run};
    }
    if ((size > offset && ::ftruncate(f.fd(), static_cast<off_t>(offset)) != 0) ||
        !write_all(f.fd(), bytes, offset) || (sync && ::fsync(f.fd()) != 0)) {
        return disk_error(where, errno);
    }
    if (sync && new_file) {
        sync_folder(fs::path(where).parent_path());
    }
    if (new_folder) {
        sync_folder(m_folder);
    }
    return offset + bytes.size();
}

result<std::string> spool::read(std::string_view storage, std::string_view file,
                                std::uint64_t offset, std::uint64_t length) const {
    const std::string where = path(storage, file);
    const open_file f(where, O_RDONLY | O_CLOEXEC);
    if (!enabled() || !is_safe_name(storage) || !is_safe_name(file) || f.fd() < 0) {
        return error{error_code::not_found, str_cat("file \"", file, "\" is not on this spool"),
                     run_state::not_run};
    }
    std::string out(length, '\0');
    const ssize_t got = ::pread(f.fd(), out.data(), out.size(), static_cast<off_t>(offset));
    if (got < 0) {
        return disk_error(where, errno);
    }
    out.resize(static_cast<std::size_t>(got));
    return out;
}

void spool::remove(std::string_view storage) {
    std::error_code ignored;
    if (enabled() && is_safe_name(storage)) {
        fs::remove_all(str_cat(m_folder, "/", storage), ignored);
    }
}

std::vector<std::string> spool::list() const {
    std::vector<std::string> out;
    std::error_code failed;
    if (enabled()) {
        for (const auto& entry : fs::directory_iterator(m_folder, failed)) {
            out.push_back(entry.path().filename().string());
        }
    }
    return out;
}

} // namespace eelgrassdoor::spool
