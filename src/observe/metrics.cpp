#include "observe/metrics.hpp"

#include "base/text.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>

namespace eelgrassdoor::observe {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> tracked_probabilities{0.5, 0.95, 0.99};

using accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::extended_p_square_quantile>>;

/// Adds a quantile label to a metric name with or without labels, such as `name{a="b"}`.
std::string add_quantile_label(std::string_view name, double probability) {
    const std::string label = str_cat("quantile=\"", probability, "\"");
    const std::size_t brace = name.find('{');
    if (brace == std::string_view::npos) {
        return str_cat(name, "{", label, "}");
    }
    return str_cat(name.substr(0, brace + 1), label, ",", name.substr(brace + 1));
}

} // namespace

struct quantile_estimator::state {
    accumulator values{acc::extended_p_square_probabilities = tracked_probabilities};
};

quantile_estimator::quantile_estimator() : m_state(std::make_unique<state>()) {}

quantile_estimator::~quantile_estimator() = default;

void quantile_estimator::add(double value) {
    m_state->values(value);
}

double quantile_estimator::at(double probability) const {
    return acc::quantile(m_state->values, acc::quantile_probability = probability);
}

std::uint64_t quantile_estimator::count() const {
    return acc::count(m_state->values);
}

double quantile_estimator::mean() const {
    return acc::mean(m_state->values);
}

void metrics::count(std::string_view name, std::uint64_t by) {
    const absl::MutexLock lock(&m_mutex);
    m_counters.try_emplace(std::string(name)).first->second += by;
}

void metrics::gauge(std::string_view name, double value) {
    const absl::MutexLock lock(&m_mutex);
    m_gauges.insert_or_assign(std::string(name), value);
}

void metrics::observe(std::string_view name, double value) {
    const absl::MutexLock lock(&m_mutex);
    m_quantiles.try_emplace(std::string(name)).first->second.add(value);
}

std::uint64_t metrics::counter(std::string_view name) const {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second;
}

std::string metrics::text() const {
    const absl::MutexLock lock(&m_mutex);
    std::string out;
    for (const auto& [name, value] : m_counters) {
        str_append(out, name, " ", value, "\n");
    }
    for (const auto& [name, value] : m_gauges) {
        str_append(out, name, " ", value, "\n");
    }
    for (const auto& [name, values] : m_quantiles) {
        for (const double probability : tracked_probabilities) {
            str_append(out, add_quantile_label(name, probability), " ", values.at(probability),
                       "\n");
        }
    }
    return out;
}

} // namespace eelgrassdoor::observe
