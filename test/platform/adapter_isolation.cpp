/// \file
/// The platform's names stand in the adapter's folder only.
#include "check.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace {

/// Header names, paths, field names and the platform's own terms, in lower case.
constexpr std::array<std::string_view, 30> words = {
    "attempt-id",     "credential",      "deadline-ms",   "expect-instance",
    "not-executed",   "prompt-prefix",   "token-counts",  "server-seal",
    "expect-version", "last-event-id",   "wait-ms",       "tenant",
    "kv-txn",         "kv-watch",        "kv-lease",      "kv-range",
    "kv-key",         "kv-keep",         "apikeys",       "pathprefix",
    "maxattempts",    "coldremainingms", "configapplyms", "dead_letter",
    "op/config",      "op/retire",       "servers/",      "/eelgrassdoor/lots",
    "allowstale",     "instance-id"};

std::string lower_text(const std::filesystem::path& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    std::string out = text.str();
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

} // namespace

int main(int, char** argv) {
    const std::filesystem::path root = argv[1];
    for (const char* folder : {"src", "apps"}) {
        for (const auto& entry : std::filesystem::recursive_directory_iterator(root / folder)) {
            if (!entry.is_regular_file()) {
                continue;
            }
            const std::string text = lower_text(entry.path());
            for (std::string_view word : words) {
                eelgrassdoor::test::require(text.find(word) == std::string::npos,
                                            entry.path().string() + " has " + std::string(word));
            }
        }
    }
    return eelgrassdoor::test::finish();
}
