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
            str_cat("I/O error on file \"", path, "\": ", std::strerror(number)),
            run_state::not_run, seconds(5)};
}

/// Owns a file descriptor and closes it on destruction.
class scoped_fd {
public:
    scoped_fd(const std::string& path, int flags) : m_fd(::open(path.c_str(), flags, 0644)) {}
    ~scoped_fd() {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
    }
    scoped_fd(const scoped_fd&) = delete;
    scoped_fd& operator=(const scoped_fd&) = delete;
    [[nodiscard]] int fd() const { return m_fd; }

private:
    int m_fd;
};

/// Writes all of \p bytes at \p offset; returns false with errno set when a write fails.
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

/// Flushes the entries of a directory to the disk, so that a new file survives a crash of the host.
void sync_directory(const fs::path& directory) {
    const scoped_fd f(directory.string(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
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

spool::spool(std::string directory) : m_directory(std::move(directory)) {
    if (enabled()) {
        std::error_code ignored;
        fs::create_directories(m_directory, ignored);
    }
}

std::string spool::path(std::string_view storage, std::string_view file) const {
    return str_cat(m_directory, "/", storage, "/", file);
}

result<std::uint64_t> spool::write(std::string_view storage, std::string_view file,
                                   std::uint64_t offset, std::string_view bytes, bool sync) {
    const std::string file_path = path(storage, file);
    if (!enabled() || !is_safe_name(storage) || !is_safe_name(file)) {
        return disk_error(file_path, EINVAL);
    }
    std::error_code failed;
    const bool created_directory =
        fs::create_directories(fs::path(file_path).parent_path(), failed);
    const bool created_file = !fs::exists(file_path, failed);
    const scoped_fd f(file_path, O_WRONLY | O_CREAT | O_CLOEXEC);
    struct stat info {};
    if (f.fd() < 0 || ::fstat(f.fd(), &info) != 0) {
        return disk_error(file_path, errno);
    }
    const auto size = static_cast<std::uint64_t>(info.st_size);
    if (size < offset) {
        return error{
            error_code::conflict,
            str_cat("file \"", file, "\" has ", size, " bytes; cannot write at offset ", offset),
            run_state::not_run};
    }
    if ((size > offset && ::ftruncate(f.fd(), static_cast<off_t>(offset)) != 0) ||
        !write_all(f.fd(), bytes, offset) || (sync && ::fsync(f.fd()) != 0)) {
        return disk_error(file_path, errno);
    }
    if (sync && created_file) {
        sync_directory(fs::path(file_path).parent_path());
    }
    if (created_directory) {
        sync_directory(m_directory);
    }
    return offset + bytes.size();
}

result<std::string> spool::read(std::string_view storage, std::string_view file,
                                std::uint64_t offset, std::uint64_t length) const {
    const std::string file_path = path(storage, file);
    const scoped_fd f(file_path, O_RDONLY | O_CLOEXEC);
    if (!enabled() || !is_safe_name(storage) || !is_safe_name(file) || f.fd() < 0) {
        return error{error_code::not_found,
                     str_cat("file \"", file, "\" is not in the spool of this host"),
                     run_state::not_run};
    }
    std::string out(length, '\0');
    const ssize_t bytes_read = ::pread(f.fd(), out.data(), out.size(), static_cast<off_t>(offset));
    if (bytes_read < 0) {
        return disk_error(file_path, errno);
    }
    out.resize(static_cast<std::size_t>(bytes_read));
    return out;
}

void spool::remove(std::string_view storage) {
    std::error_code ignored;
    if (enabled() && is_safe_name(storage)) {
        fs::remove_all(str_cat(m_directory, "/", storage), ignored);
    }
}

std::vector<std::string> spool::list() const {
    std::vector<std::string> out;
    std::error_code failed;
    if (enabled()) {
        for (const auto& entry : fs::directory_iterator(m_directory, failed)) {
            out.push_back(entry.path().filename().string());
        }
    }
    return out;
}

} // namespace eelgrassdoor::spool
