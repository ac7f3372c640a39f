#include "platform/hostile/process_usage.hpp"

#include "base/text.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

namespace eelgrassdoor::test {

std::size_t peak_memory(pid_t process) {
    std::ifstream status(str_cat("/proc/", process, "/status"));
    std::string name;
    while (status >> name) {
        if (name == "VmHWM:") {
            std::size_t kib = 0;
            status >> kib;
            return kib * 1024;
        }
    }
    return 0;
}

std::size_t open_descriptors(pid_t process) {
    std::error_code ec;
    const std::filesystem::directory_iterator entries(str_cat("/proc/", process, "/fd"), ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace eelgrassdoor::test
