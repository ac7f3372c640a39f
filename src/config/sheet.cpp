#include "config/sheet.hpp"

#include "base/text.hpp"

namespace eelgrassdoor::config {

namespace {

std::string describe(const customer& c) {
    return str_cat("rate ", c.rate_per_second, "/s, burst ", c.burst, ", weight ", c.weight);
}

std::string describe(const model& m) {
    return str_cat("batch reserve ", m.batch_reserve_percent, "%");
}

std::string describe(const route& r) {
    return str_cat(r.kind == route_kind::model ? "model " + r.model : "service", ", ",
                   r.access == route_access::open ? "open" : "keyed", ", ",
                   r.idempotent ? "idempotent" : "not idempotent", ", timeout ",
                   std::chrono::duration_cast<milliseconds>(r.timeout).count(), " ms");
}

template <typename Map>
void diff_maps(std::string_view kind, const Map& before, const Map& after,
               std::vector<std::string>& out) {
    for (const auto& [name, value] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            out.push_back(str_cat("- ", kind, " ", name, ": ", describe(value)));
        } else if (!(found->second == value)) {
            out.push_back(str_cat("~ ", kind, " ", name, ": ", describe(value), " -> ",
                                  describe(found->second)));
        }
    }
    for (const auto& [name, value] : after) {
        if (!before.contains(name)) {
            out.push_back(str_cat("+ ", kind, " ", name, ": ", describe(value)));
        }
    }
}

} // namespace

std::vector<std::string> diff_sheets(const sheet& before, const sheet& after) {
    std::vector<std::string> out;
    if (before.availability_zones != after.availability_zones) {
        out.push_back(str_cat("~ availability zones: ", str_join(before.availability_zones, " "),
                              " -> ", str_join(after.availability_zones, " ")));
    }
    diff_maps("customer", before.customers, after.customers, out);
    diff_maps("model", before.models, after.models, out);
    diff_maps("route", before.routes, after.routes, out);
    return out;
}

} // namespace eelgrassdoor::config
