/// \file
/// Defines counters, gauges and quantile estimates, and their Prometheus text format.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrassdoor::observe {

/// A streaming estimate of the quantiles 0.5, 0.95 and 0.99 with constant memory (extended P²
/// algorithm of Boost.Accumulators). Not thread-safe.
class quantile_estimator {
public:
    quantile_estimator();
    ~quantile_estimator();
    void add(double value);
    /// Returns the estimate of the quantile \p probability: 0.5, 0.95 or 0.99. Meaningful only
    /// after values have been added.
    [[nodiscard]] double at(double probability) const;
    /// Returns the number of values added.
    [[nodiscard]] std::uint64_t count() const;
    /// Returns the arithmetic mean of the values added.
    [[nodiscard]] double mean() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// The metrics of one process. A metric is created on first use; its name includes the labels, for
/// example `requests_total{route="chat"}`. Thread-safe.
class metrics {
public:
    /// Increments the counter \p name by \p by.
    void count(std::string_view name, std::uint64_t by = 1);
    /// Sets the gauge \p name to \p value.
    void gauge(std::string_view name, double value);
    /// Adds \p value to the quantile estimates 0.5, 0.95 and 0.99 of \p name.
    void observe(std::string_view name, double value);
    /// Returns the value of the counter \p name, 0 when it does not exist.
    [[nodiscard]] std::uint64_t counter(std::string_view name) const;
    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    mutable absl::Mutex m_mutex;
    std::map<std::string, std::uint64_t, std::less<>> m_counters ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, double, std::less<>> m_gauges ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, quantile_estimator, std::less<>> m_quantiles ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::observe
