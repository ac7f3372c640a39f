#include "timeline_merge.hpp"

#include "base/text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <ostream>
#include <tuple>
#include <vector>

namespace eelgrassdoor::ctl {

namespace {

/// One line of a timeline with its sort key.
struct timeline_event {
    std::uint64_t stamp = 0;
    std::string host;
    nlohmann::ordered_json line;
};

void print(const timeline_event& e, std::ostream& out) {
    out << e.stamp << "  " << e.host << "  " << e.line.value("event", 0) << " "
        << e.line.value("name", "?");
    for (const auto& [name, value] : e.line.items()) {
        if (name != "stamp" && name != "monotonic_ns" && name != "host" && name != "incarnation" &&
            name != "event" && name != "name") {
            out << "  " << name << "="
                << (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    out << "\n";
}

} // namespace

int merge_timelines(std::span<const std::string> files, const std::string& subject,
                    std::ostream& out) {
    std::vector<timeline_event> events;
    int unreadable = 0;
    for (const std::string& path : files) {
        std::ifstream file(path);
        std::string text;
        while (std::getline(file, text)) {
            auto line = nlohmann::ordered_json::parse(text, nullptr, false);
            if (!line.is_object() || !line.contains("stamp") || !line.contains("host")) {
                ++unreadable;
                continue;
            }
            if (subject.empty() || line.value("subject", "") == subject) {
                events.push_back({line["stamp"], line["host"], std::move(line)});
            }
        }
    }
    std::ranges::stable_sort(events, [](const timeline_event& a, const timeline_event& b) {
        return std::tie(a.stamp, a.host) < std::tie(b.stamp, b.host);
    });
    for (const timeline_event& e : events) {
        print(e, out);
    }
    return unreadable;
}

} // namespace eelgrassdoor::ctl
