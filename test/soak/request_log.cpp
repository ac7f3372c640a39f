#include "soak/request_log.hpp"

#include "base/text.hpp"
#include "check.hpp"

#include <array>
#include <fcntl.h>
#include <unistd.h>

namespace eelgrassdoor::test {

request_log::request_log(const std::string& path)
    : m_file(::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) {
    require(m_file >= 0, "the record of requests opens");
}

request_log::~request_log() {
    ::close(m_file);
}

void request_log::append(std::string_view engine, std::string_view path) {
    const std::string line = str_cat(engine, " ", path, "\n");
    const ssize_t written = ::write(m_file, line.data(), line.size());
    require(written == static_cast<ssize_t>(line.size()), "a request is recorded");
}

void request_log::read() {
    std::array<char, 16 * 1024> bytes{};
    for (;;) {
        const ssize_t size = ::read(m_file, bytes.data(), bytes.size());
        if (size <= 0) {
            return;
        }
        m_rest.append(bytes.data(), static_cast<std::size_t>(size));
        std::size_t begin = 0;
        for (std::size_t end = m_rest.find('\n'); end != std::string::npos;
             end = m_rest.find('\n', begin)) {
            const std::size_t path = m_rest.find(' ', begin) + 1;
            ++m_count;
            ++m_runs[m_rest.substr(path, end - path)];
            begin = end + 1;
        }
        m_rest.erase(0, begin);
    }
}

std::size_t request_log::count() {
    read();
    return m_count;
}

std::map<std::string, int> request_log::runs_by_path(std::string_view prefix) {
    read();
    std::map<std::string, int> out;
    for (auto each = m_runs.lower_bound(prefix);
         each != m_runs.end() && each->first.starts_with(prefix); ++each) {
        out.insert(*each);
    }
    return out;
}

} // namespace eelgrassdoor::test
