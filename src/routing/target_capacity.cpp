#include "routing/target_capacity.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrassdoor::routing {

namespace {

/// Windows from which a speed is estimated; fewer may all be disturbed.
constexpr std::size_t min_speed_windows = 5;
/// Targets of a service that must have a pace before they are compared.
constexpr std::size_t min_compared = 3;
/// Logarithms of the speed at which a figure leaves neutral, and within which it returns. Noise
/// within one window's median is a few percent.
constexpr double leave_log = 0.16;
constexpr double return_log = 0.08;
/// Evaluations in a row for which a figure must be off neutral before it leaves.
constexpr int leave_count = 3;
/// Windows on each side of a load at which the pace below and above are compared.
constexpr std::size_t min_side_windows = 6;
/// Logarithm of the slow-down above a load from which it is the pace limit: beyond what a batch of
/// a few more requests costs.
constexpr double pace_drop_log = 0.3;
/// Parts of the observed loads at which a limit is looked for.
constexpr std::array<double, 3> split_quantiles = {0.35, 0.5, 0.65};
/// Part of the slope's moments that is kept from window to window; about 30 s of memory.
constexpr double moment_decay = 0.983;
/// Moments of the load below which no slope is estimated.
constexpr double min_load_square = 20;
/// Bounds of the slope per request, in logarithms of the gap.
constexpr double max_slope = 0.25;
/// Deviation at which a window stops gaining influence on the slope.
constexpr double max_deviation = 0.4;

/// The median of \p values, which are reordered and must not be empty.
template <typename Iterator> double median(Iterator begin, Iterator end) {
    const auto middle = begin + (end - begin) / 2;
    std::nth_element(begin, middle, end);
    return *middle;
}

template <typename Values> double median(Values& values) {
    return median(values.begin(), values.end());
}

/// A value for each window of a target, without allocation.
class window_values {
public:
    void add(double value) { m_values[m_size++] = value; }
    void sort() { std::sort(begin(), end()); }
    [[nodiscard]] std::size_t size() const { return m_size; }
    double operator[](std::size_t index) const { return m_values[index]; }
    double* begin() { return m_values.data(); }
    double* end() { return m_values.data() + m_size; }

private:
    std::array<double, target_capacity::max_windows> m_values{};
    std::size_t m_size = 0;
};

} // namespace

double target_capacity::service_state::slope() const {
    return load_square < min_load_square ? 0 : std::clamp(load_gap / load_square, 0.0, max_slope);
}

void target_capacity::set_listed(const std::vector<capacity_target>& targets) {
    std::unordered_map<std::uint64_t, target_state> next;
    for (auto& [name, service] : m_services) {
        service.targets.clear();
    }
    for (const capacity_target& listed : targets) {
        // Extracted nodes keep their address, which find() has handed out.
        auto node = m_targets.extract(listed.target);
        const bool known = !node.empty();
        target_state& state =
            known ? next.insert(std::move(node)).position->second : next[listed.target];
        if (known && state.started_at != listed.started_at) {
            const auto half = static_cast<std::ptrdiff_t>(state.windows.size() / 2);
            state.windows.erase(state.windows.begin(), state.windows.begin() + half);
            state.samples = 0;
        }
        state.started_at = listed.started_at;
        state.slots = listed.slots;
        state.service = &m_services[listed.service];
        state.service->targets.push_back(listed.target);
    }
    m_targets = std::move(next);
    std::erase_if(m_own, [&](const auto& entry) { return !m_targets.contains(entry.first); });
    std::erase_if(m_services, [](const auto& entry) { return entry.second.targets.empty(); });
}

void target_capacity::record_gap(std::uint64_t target, int load, duration gap, time_point now) {
    const auto found = m_targets.find(target);
    const double gap_ms = to_seconds(gap) * 1e3;
    if (found == m_targets.end() || gap_ms <= 0) {
        return;
    }
    const auto log_gap = static_cast<float>(std::log(gap_ms));
    own_samples& own = m_own[target];
    if (own.gaps.size() < max_samples) {
        own.gaps.push_back(log_gap);
        own.loads.push_back(static_cast<float>(load));
    }
    add_sample(found->second, static_cast<float>(load), log_gap, now);
}

const pace_reports& target_capacity::reports(time_point now) {
    if (now < m_reports_end) {
        return m_reports;
    }
    m_reports_end = now + window;
    ++m_reports.window;
    m_reports.reports.clear();
    const std::size_t count = std::min(m_own.size(), max_reports);
    auto next = m_own.begin();
    if (!m_own.empty()) {
        const std::size_t first = m_reports.window * max_reports % m_own.size();
        std::advance(next, static_cast<std::ptrdiff_t>(first));
    }
    for (std::size_t i = 0; i < count; ++i) {
        auto& [target, own] = *next;
        const std::chrono::duration<double, std::milli> gap(std::exp(median(own.gaps)));
        m_reports.reports.push_back({target, static_cast<int>(std::lround(median(own.loads))),
                                     std::chrono::duration_cast<duration>(gap)});
        next = std::next(next) == m_own.end() ? m_own.begin() : std::next(next);
    }
    m_own.clear();
    return m_reports;
}

void target_capacity::merge(std::string_view peer, const pace_reports& received, time_point now) {
    const auto [known, is_new] = m_peer_windows.try_emplace(std::string(peer), received.window);
    if (!is_new && std::exchange(known->second, received.window) == received.window) {
        return;
    }
    for (const pace_report& each : received.reports) {
        const auto found = m_targets.find(each.target);
        const double gap_ms = to_seconds(each.gap) * 1e3;
        if (found != m_targets.end() && gap_ms > 0) {
            add_sample(found->second, static_cast<float>(each.load),
                       static_cast<float>(std::log(gap_ms)), now);
        }
    }
}

void target_capacity::remove_peer(std::string_view peer) {
    if (const auto known = m_peer_windows.find(peer); known != m_peer_windows.end()) {
        m_peer_windows.erase(known);
    }
}

void target_capacity::add_sample(target_state& state, float load, float log_gap, time_point now) {
    const std::size_t index = state.samples++ % max_samples;
    state.gaps[index] = log_gap;
    state.loads[index] = load;
    if (state.service->window_end == time_point::min()) {
        state.service->window_end = now + window;
    }
    if (now >= state.service->window_end) {
        close_window(*state.service, now);
    }
}

const capacity_figure* target_capacity::find(std::uint64_t target) const {
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second.figure;
}

void target_capacity::expire(time_point now) {
    for (auto& [name, service] : m_services) {
        if (service.window_end != time_point::min() && now >= service.window_end) {
            close_window(service, now);
        }
    }
}

std::size_t target_capacity::below_neutral_count() const {
    return static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [](const auto& entry) {
            const capacity_figure& figure = entry.second.figure;
            return figure.speed < 1 || figure.pace_limit.has_value();
        }));
}

bool target_capacity::take_samples(service_state& service, target_state& target, time_point now) {
    std::erase_if(target.windows,
                  [&](const window_pace& each) { return now - each.at > window_lifetime; });
    const auto count = static_cast<std::ptrdiff_t>(std::min(target.samples, max_samples));
    if (count == 0) {
        return false;
    }
    target.samples = 0;
    const double log_gap = median(target.gaps.begin(), target.gaps.begin() + count);
    const double load = median(target.loads.begin(), target.loads.begin() + count);
    if (target.windows.size() >= min_speed_windows) {
        double mean_load = 0;
        window_values log_gaps;
        for (const window_pace& each : target.windows) {
            mean_load += each.load / static_cast<double>(target.windows.size());
            log_gaps.add(each.log_gap);
        }
        const double by = std::clamp(log_gap - median(log_gaps), -max_deviation, max_deviation);
        service.load_square += (load - mean_load) * (load - mean_load);
        service.load_gap += (load - mean_load) * by;
    }
    if (target.windows.size() == max_windows) {
        target.windows.erase(target.windows.begin());
    }
    target.windows.push_back({now, static_cast<float>(load), static_cast<float>(log_gap)});
    return true;
}

void target_capacity::update_pace(const service_state& service, target_state& target) {
    if (target.windows.size() < min_speed_windows) {
        target.log_pace.reset();
        return;
    }
    window_values paces;
    const std::size_t count = std::min(target.windows.size(), speed_windows);
    for (auto it = target.windows.end() - static_cast<std::ptrdiff_t>(count);
         it != target.windows.end(); ++it) {
        paces.add(it->log_gap - service.slope() * it->load);
    }
    target.log_pace = median(paces);
}

void target_capacity::update_speed(target_state& target, double median_pace,
                                   bool comparable) const {
    if (!comparable || !target.log_pace) {
        target.off_speed = 0;
        target.figure.speed = 1;
        return;
    }
    const double log_speed = median_pace - *target.log_pace;
    target.off_speed = std::abs(log_speed) > leave_log ? target.off_speed + 1 : 0;
    const bool was_neutral = target.figure.speed == 1;
    const bool is_off =
        was_neutral ? target.off_speed >= leave_count : std::abs(log_speed) > return_log;
    target.figure.speed = is_off ? std::clamp(std::exp(log_speed), min_speed, max_speed) : 1;
}

void target_capacity::update_pace_limit(const service_state& service, target_state& target) const {
    window_values loads;
    for (const window_pace& each : target.windows) {
        loads.add(each.load);
    }
    loads.sort();
    std::optional<int> limit;
    double drop = pace_drop_log;
    for (const double quantile : split_quantiles) {
        if (loads.size() < 2 * min_side_windows) {
            break;
        }
        const double split =
            loads[static_cast<std::size_t>(quantile * static_cast<double>(loads.size()))];
        window_values below;
        window_values above;
        for (const window_pace& each : target.windows) {
            (each.load < split ? below : above).add(each.log_gap - service.slope() * each.load);
        }
        if (below.size() < min_side_windows || above.size() < min_side_windows) {
            continue;
        }
        const double by = median(above) - median(below);
        if (by > drop) {
            drop = by;
            limit = std::max(min_pace_limit, static_cast<int>(std::ceil(split)) - 1);
        }
    }
    target.off_pace = limit ? target.off_pace + 1 : 0;
    if (limit && (target.off_pace >= leave_count || target.figure.pace_limit)) {
        target.figure.pace_limit = limit;
        return;
    }
    // Without evidence above the limit, it rises step by step and so looks for the present one.
    if (target.figure.pace_limit) {
        const int next = *target.figure.pace_limit + 1;
        target.figure.pace_limit = next > target.slots ? std::nullopt : std::optional(next);
    }
}

void target_capacity::close_window(service_state& service, time_point now) {
    service.window_end = now + window;
    service.load_square *= moment_decay;
    service.load_gap *= moment_decay;
    std::vector<double> paces;
    std::vector<std::pair<target_state*, bool>> states;
    bool any = false;
    for (const std::uint64_t hash : service.targets) {
        target_state& state = m_targets.find(hash)->second;
        const bool is_new = take_samples(service, state, now);
        update_pace(service, state);
        any = any || !state.windows.empty();
        if (state.log_pace) {
            paces.push_back(*state.log_pace);
        }
        states.emplace_back(&state, is_new);
    }
    const bool comparable = paces.size() >= min_compared;
    const double median_pace = comparable ? median(paces) : 0;
    for (std::size_t i = 0; i < states.size(); ++i) {
        target_state& state = *states[i].first;
        const bool was_neutral = state.figure.is_neutral();
        if (states[i].second || state.windows.empty() || !comparable) {
            update_speed(state, median_pace, comparable);
        }
        if (states[i].second || state.figure.pace_limit) {
            update_pace_limit(service, state);
        }
        if (was_neutral == state.figure.is_neutral()) {
            continue;
        }
        m_changed_at = now;
        if (on_change) {
            on_change(service.targets[i], state.figure);
        }
    }
    if (!any) {
        service.window_end = time_point::min();
    }
}

} // namespace eelgrassdoor::routing
