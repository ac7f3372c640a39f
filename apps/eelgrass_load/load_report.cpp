#include "load_report.hpp"

#include "base/text.hpp"
#include "observe/metrics.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <ostream>

namespace eelgrassdoor::load {

namespace {

/// Size and margin of the plot in pixels.
constexpr double plot_width = 960;
constexpr double plot_height = 360;
constexpr double plot_margin = 40;

bool admitted(const load_record& r) {
    return r.status == 200;
}

std::string format_ms(double s) {
    char text[32];
    std::snprintf(text, sizeof text, "%.1f ms", s * 1e3);
    return text;
}

void print_quantiles(std::string_view name, const observe::quantile_estimator& q,
                     std::ostream& out) {
    if (q.count() == 0) {
        return;
    }
    out << name << ": n " << q.count() << ", p50 " << format_ms(q.at(0.5)) << ", p95 "
        << format_ms(q.at(0.95)) << ", p99 " << format_ms(q.at(0.99)) << "\n";
}

void print_customer(const load_customer& c, std::size_t index,
                    const std::vector<load_record>& records, std::ostream& out) {
    if (c.rate_per_second <= 0) {
        return;
    }
    const limit_report r = check_limits(c, index, records);
    const int sent = r.admitted + r.refused;
    out << "customer " << c.name << ": sent " << sent << ", admitted " << r.admitted << ", refused "
        << r.refused << ", wrongful " << r.wrongful << " ("
        << (sent > 0 ? 100.0 * r.wrongful / sent : 0) << "%), excess over rate*t+burst " << r.excess
        << "\n";
}

} // namespace

limit_report check_limits(const load_customer& customer, std::size_t index,
                          const std::vector<load_record>& records) {
    limit_report out;
    // ideal_tokens follows the decisions of an ideal bucket; actual_tokens is charged for each
    // request that was admitted and becomes negative when the limit is exceeded.
    double ideal_tokens = customer.burst;
    double actual_tokens = customer.burst;
    double last_sent_s = 0;
    for (const load_record& r : records) {
        if (r.customer_index != index || (r.status != 200 && r.status != 429)) {
            continue;
        }
        const double refilled = customer.rate_per_second * std::max(0.0, r.sent_s - last_sent_s);
        ideal_tokens = std::min(customer.burst, ideal_tokens + refilled);
        actual_tokens = std::min(customer.burst, actual_tokens + refilled);
        last_sent_s = std::max(last_sent_s, r.sent_s);
        const bool should_admit = ideal_tokens >= 1;
        ideal_tokens -= should_admit ? 1 : 0;
        if (admitted(r)) {
            ++out.admitted;
            actual_tokens -= 1;
            out.excess = std::max(out.excess, -actual_tokens);
        } else {
            ++out.refused;
            out.wrongful += should_admit ? 1 : 0;
        }
    }
    return out;
}

void print_report(const load_options& options, const std::vector<load_record>& records,
                  std::ostream& out) {
    observe::quantile_estimator first_token_latency;
    observe::quantile_estimator inter_token_time;
    std::vector<observe::quantile_estimator> by_customer(options.customers.size());
    int ok = 0;
    int refused = 0;
    int failed = 0;
    for (const load_record& r : records) {
        if (admitted(r) && r.whole) {
            ++ok;
            first_token_latency.add(r.first_s - r.due_s);
            by_customer[r.customer_index].add(r.first_s - r.due_s);
            if (r.between_s > 0) {
                inter_token_time.add(r.between_s);
            }
        } else if (r.status == 429) {
            ++refused;
        } else {
            ++failed;
        }
    }
    out << "requests: " << records.size() << " sent, " << ok << " complete responses, " << refused
        << " refused by rate limit, " << failed << " failed\n";
    print_quantiles("first token", first_token_latency, out);
    print_quantiles("between tokens", inter_token_time, out);
    double worst_p95 = 0;
    std::string worst_name;
    for (std::size_t i = 0; i < by_customer.size(); ++i) {
        const double p95 = by_customer[i].count() > 0 ? by_customer[i].at(0.95) : 0;
        if (p95 > worst_p95) {
            worst_p95 = p95;
            worst_name = options.customers[i].name;
        }
    }
    if (!worst_name.empty()) {
        out << "worst-served customer: " << worst_name << ", p95 " << format_ms(worst_p95) << "\n";
    }
    for (std::size_t i = 0; i < options.customers.size(); ++i) {
        print_customer(options.customers[i], i, records, out);
    }
}

void write_csv(const load_options& options, const std::vector<load_record>& records) {
    std::ofstream file(options.csv_path);
    file << "customer,due_s,sent_s,first_s,end_s,between_s,status,whole,run\n";
    for (const load_record& r : records) {
        file << options.customers[r.customer_index].name << "," << r.due_s << "," << r.sent_s << ","
             << r.first_s << "," << r.end_s << "," << r.between_s << "," << r.status << ","
             << (r.whole ? 1 : 0) << "," << r.run << "\n";
    }
}

void write_svg(const load_options& options, const std::vector<load_record>& records) {
    double max_latency_s = 0.001;
    for (const load_record& r : records) {
        max_latency_s = std::max(max_latency_s, r.first_s - r.due_s);
    }
    const auto x = [&](double s) {
        return plot_margin + s / options.duration_s * (plot_width - 2 * plot_margin);
    };
    const auto y = [&](double s) {
        return plot_height - plot_margin - s / max_latency_s * (plot_height - 2 * plot_margin);
    };
    std::ofstream file(options.svg_path);
    file << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << plot_width << "\" height=\""
         << plot_height << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
         << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
         << "<text x=\"" << plot_margin << "\" y=\"16\">time to first token, at most "
         << format_ms(max_latency_s) << "; " << options.duration_s << " s of arrivals</text>\n";
    for (const load_record& r : records) {
        const bool succeeded = admitted(r) && r.whole;
        file << "<circle r=\"2\" cx=\"" << x(r.due_s) << "\" cy=\""
             << y(succeeded ? r.first_s - r.due_s : 0) << "\" fill=\""
             << (succeeded         ? "steelblue"
                 : r.status == 429 ? "orange"
                                   : "crimson")
             << "\"/>\n";
    }
    for (const std::string& mark : options.marks) {
        double at = 0;
        const std::size_t colon = mark.find(':');
        if (colon != std::string::npos && parse_double(mark.substr(0, colon), at)) {
            file << "<line x1=\"" << x(at) << "\" x2=\"" << x(at) << "\" y1=\"" << plot_margin
                 << "\" y2=\"" << plot_height - plot_margin << "\" stroke=\"black\"/><text x=\""
                 << x(at) + 3 << "\" y=\"" << plot_margin << "\">" << mark.substr(colon + 1)
                 << "</text>\n";
        }
    }
    file << "</svg>\n";
}

} // namespace eelgrassdoor::load
