#include "fleet/message.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

namespace {

/// Unit of pace_entry::gap.
constexpr std::chrono::microseconds pace_unit{100};

std::uint32_t to_age_ms(duration age) {
    const std::int64_t max_age = segment_report::never - 1;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(to_ms(age), 0, max_age));
}

} // namespace

segment_reports to_reports(const std::vector<routing::segment_evidence>& evidence) {
    segment_reports out;
    for (const routing::segment_evidence& each : evidence) {
        segment_report report{
            each.segment, segment_report::never, to_age_ms(each.first_crash_age), {}};
        if (each.served_age) {
            report.served_age_ms = to_age_ms(*each.served_age);
        }
        for (const routing::segment_crash& crash : each.crashes) {
            report.crashes.push_back({crash.instance, to_age_ms(crash.age)});
        }
        out.reports.push_back(std::move(report));
    }
    return out;
}

std::vector<routing::segment_evidence> to_evidence(const segment_reports& received) {
    std::vector<routing::segment_evidence> out;
    for (const segment_report& report : received.reports) {
        routing::segment_evidence each{
            report.segment, std::nullopt, milliseconds(report.first_crash_age_ms), {}};
        if (report.served_age_ms != segment_report::never) {
            each.served_age = milliseconds(report.served_age_ms);
        }
        for (const segment_report::crash& crash : report.crashes) {
            each.crashes.push_back({crash.instance, milliseconds(crash.age_ms)});
        }
        out.push_back(std::move(each));
    }
    return out;
}

target_limit_entries to_entries(const std::vector<routing::target_limit_report>& reports) {
    target_limit_entries out;
    for (const routing::target_limit_report& each : reports) {
        out.entries.push_back({.instance = each.instance,
                               .requests_per_second = each.requests_per_second,
                               .named_age_ms = to_age_ms(each.named_age),
                               .ended_age_ms = each.ended_age ? to_age_ms(*each.ended_age)
                                                              : target_limit_entry::never});
    }
    return out;
}

std::vector<routing::target_limit_report> to_limit_reports(const target_limit_entries& received) {
    std::vector<routing::target_limit_report> out;
    for (const target_limit_entry& each : received.entries) {
        routing::target_limit_report report{.instance = each.instance,
                                            .requests_per_second = each.requests_per_second,
                                            .named_age = milliseconds(each.named_age_ms),
                                            .ended_age = {}};
        if (each.ended_age_ms != target_limit_entry::never) {
            report.ended_age = milliseconds(each.ended_age_ms);
        }
        out.push_back(report);
    }
    return out;
}

pace_entries to_entries(const routing::pace_reports& reports) {
    pace_entries out;
    out.window = reports.window;
    for (const routing::pace_report& each : reports.reports) {
        const auto gap = std::clamp<std::int64_t>(each.gap / pace_unit, 1, UINT16_MAX);
        out.entries.push_back({each.target,
                               static_cast<std::uint8_t>(std::clamp(each.load, 0, 255)),
                               static_cast<std::uint16_t>(gap)});
    }
    return out;
}

routing::pace_reports to_pace_reports(const pace_entries& received) {
    routing::pace_reports out;
    out.window = received.window;
    for (const pace_entry& each : received.entries) {
        out.reports.push_back({each.target, each.load, each.gap * pace_unit});
    }
    return out;
}

} // namespace eelgrassdoor::fleet
