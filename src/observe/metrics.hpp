/// \file
/// Defines counters, gauges and quantiles and their Prometheus text form.
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

/// A running quantile estimate (extended P² by Boost.Accumulators) at 0.5, 0.95 and 0.99.
class quantile_estimator {
public:
    quantile_estimator();
    ~quantile_estimator();
    void add(double value);
    [[nodiscard]] double at(double probability) const;
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double mean() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// The metrics of one process, by name with labels, for example `requests_total{route="chat"}`.
/// Thread-safe.
class metrics {
public:
    void count(std::string_view name, std::uint64_t by = 1);
    void gauge(std::string_view name, double value);
    /// Adds \p value to the quantiles of \p name.
    void observe(std::string_view name, double value);
    [[nodiscard]] std::uint64_t counter(std::string_view name) const;
    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    mutable absl::Mutex m_mutex;
    std::map<std::string, std::uint64_t, std::less<>> m_counters ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, double, std::less<>> m_gauges ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, quantile_estimator, std::less<>> m_quantiles ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::observe
