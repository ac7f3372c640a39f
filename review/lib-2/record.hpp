/// \file
/// The record of what was sent, answered and run.
#pragma once

#include "http.hpp"

#include <cstdarg>
#include <cstdio>
#include <mutex>

namespace review {

class record {
public:
    explicit record(const char* file) : m_file(std::fopen(file, "w")) {}
    /// Writes a line with the time since the start of the program.
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard lock(m_mutex);
        const std::int64_t at = now_ms();
        std::fprintf(m_file, "%3lld.%03lld  ", static_cast<long long>(at / 1000),
                     static_cast<long long>(at % 1000));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
};

} // namespace review
