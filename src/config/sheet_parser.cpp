#include "config/sheet_parser.hpp"

#include "base/text.hpp"
#include "config/csv.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace eelgrassdoor::config {

namespace {

constexpr std::array<std::string_view, 11> column_names{"record",
                                                        "name",
                                                        "rate_per_second",
                                                        "burst",
                                                        "weight",
                                                        "kind",
                                                        "model",
                                                        "access",
                                                        "idempotent",
                                                        "timeout_ms",
                                                        "batch_reserve_percent"};
constexpr double max_rate_per_second = 1e6;
constexpr double max_weight = 1e3;
constexpr double max_timeout_ms = 3'600'000;
constexpr std::size_t max_name_length = 64;

/// Parses the rows of one sheet and collects the errors in them.
class sheet_reader {
public:
    explicit sheet_reader(parsed_csv text)
        : m_rows(std::move(text.rows)), m_findings(std::move(text.findings)) {}

    sheet_result read() {
        if (m_rows.empty()) {
            m_findings.push_back({"row 1", "the sheet is empty"});
            return m_findings;
        }
        if (!read_header()) {
            return m_findings;
        }
        for (std::size_t i = 1; i < m_rows.size(); ++i) {
            m_row = &m_rows[i];
            read_row();
        }
        check_references();
        if (!m_findings.empty()) {
            return m_findings;
        }
        return m_sheet;
    }

private:
    void add_finding(std::string_view column, std::string message) {
        m_findings.push_back(
            {str_cat("row ", m_row->line, ", column \"", column, "\""), std::move(message)});
    }

    bool read_header() {
        m_row = &m_rows[0];
        m_columns = m_row->cells;
        std::set<std::string_view> seen;
        for (const std::string& name : m_columns) {
            if (std::ranges::find(column_names, name) == column_names.end()) {
                add_finding(name, str_cat("is not a column of a sheet; the columns are ",
                                          str_join(column_names, ", ")));
            } else if (!seen.insert(name).second) {
                add_finding(name, "appears twice in the header");
            }
        }
        for (const std::string_view name : column_names) {
            if (!seen.contains(name)) {
                add_finding(name, "is missing from the header");
            }
        }
        return m_findings.empty();
    }

    void read_row() {
        if (m_row->cells.size() != m_columns.size()) {
            m_findings.push_back(
                {str_cat("row ", m_row->line),
                 str_cat("has ", m_row->cells.size(), " cells, expected ", m_columns.size())});
            return;
        }
        const std::string record = cell("record");
        if (record == "availability_zone") {
            read_zone();
        } else if (record == "customer") {
            read_customer();
        } else if (record == "model") {
            read_model();
        } else if (record == "route") {
            read_route();
        } else {
            add_finding("record", str_cat("\"", record, "\" is unknown; expected ",
                                          "availability_zone, customer, model or route"));
        }
    }

    std::string cell(std::string_view column) const {
        const auto at = std::ranges::find(m_columns, column) - m_columns.begin();
        return m_row->cells[static_cast<std::size_t>(at)];
    }

    std::string read_name() {
        const std::string name = cell("name");
        const bool valid = !name.empty() && name.size() <= max_name_length &&
                           std::ranges::all_of(name, [](char c) {
                               return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                                      c == '-' || c == '_' || c == '.';
                           });
        if (!valid) {
            add_finding("name", str_cat("\"", name, "\" is not a valid name: expected 1 to ",
                                        max_name_length, " of a-z, A-Z, 0-9, '-', '_', '.'"));
        }
        return name;
    }

    double read_number(std::string_view column, double least, double most) {
        const std::string text = cell(column);
        double value = 0;
        if (!parse_double(text, value) || !std::isfinite(value) || value < least || value > most) {
            add_finding(column,
                        str_cat("\"", text, "\" is not a number from ", least, " to ", most));
        }
        return value;
    }

    /// Whether the cell contains \p yes. Adds a finding when it contains neither \p yes nor \p no.
    bool read_choice(std::string_view column, std::string_view yes, std::string_view no) {
        const std::string text = cell(column);
        if (text != yes && text != no) {
            add_finding(column, str_cat("\"", text, "\" is unknown; expected ", yes, " or ", no));
        }
        return text == yes;
    }

    void expect_empty(std::initializer_list<std::string_view> columns) {
        for (const std::string_view column : columns) {
            if (!cell(column).empty()) {
                add_finding(column, str_cat("must be empty in a row of record ", cell("record")));
            }
        }
    }

    template <typename Map, typename Value> void insert(Map& map, Value value) {
        const std::string name = value.name;
        const auto [position, added] = map.emplace(name, std::move(value));
        if (!added) {
            add_finding("name", str_cat(cell("record"), " \"", name, "\" appears twice"));
        }
    }

    void read_zone() {
        const std::string name = read_name();
        if (std::ranges::find(m_sheet.availability_zones, name) !=
            m_sheet.availability_zones.end()) {
            add_finding("name", str_cat("availability_zone \"", name, "\" appears twice"));
            return;
        }
        expect_empty({"rate_per_second", "burst", "weight", "kind", "model", "access", "idempotent",
                      "timeout_ms", "batch_reserve_percent"});
        m_sheet.availability_zones.push_back(name);
    }

    void read_customer() {
        customer c;
        c.name = read_name();
        c.rate_per_second = read_number("rate_per_second", 0, max_rate_per_second);
        c.burst = read_number("burst", 1, max_rate_per_second);
        c.weight = read_number("weight", 0.01, max_weight);
        expect_empty(
            {"kind", "model", "access", "idempotent", "timeout_ms", "batch_reserve_percent"});
        insert(m_sheet.customers, std::move(c));
    }

    void read_model() {
        model m;
        m.name = read_name();
        m.batch_reserve_percent = read_number("batch_reserve_percent", 0, 100);
        expect_empty({"rate_per_second", "burst", "weight", "kind", "model", "access", "idempotent",
                      "timeout_ms"});
        insert(m_sheet.models, std::move(m));
    }

    void read_route() {
        route r;
        r.name = read_name();
        r.kind = read_choice("kind", "model", "service") ? route_kind::model : route_kind::service;
        r.model = cell("model");
        r.access =
            read_choice("access", "open", "keyed") ? route_access::open : route_access::keyed;
        r.idempotent = read_choice("idempotent", "yes", "no");
        r.timeout = from_seconds(read_number("timeout_ms", 1, max_timeout_ms) / 1e3);
        expect_empty({"rate_per_second", "burst", "weight", "batch_reserve_percent"});
        if ((r.kind == route_kind::model) == r.model.empty()) {
            add_finding("model", r.model.empty() ? "is required for a route of kind model"
                                                 : "must be empty for a route of kind service");
        }
        m_route_rows.emplace_back(m_row, r.model);
        insert(m_sheet.routes, std::move(r));
    }

    void check_references() {
        for (const auto& [row, model_name] : m_route_rows) {
            m_row = row;
            if (!model_name.empty() && !m_sheet.models.contains(model_name)) {
                add_finding("model",
                            str_cat("model \"", model_name, "\" does not exist in this sheet"));
            }
        }
        if (m_sheet.availability_zones.empty()) {
            m_findings.push_back({"sheet", "names no availability_zone"});
        }
    }

    std::vector<csv_row> m_rows;
    std::vector<finding> m_findings;
    std::vector<std::string> m_columns;
    const csv_row* m_row = nullptr;
    std::vector<std::pair<const csv_row*, std::string>> m_route_rows;
    sheet m_sheet;
};

} // namespace

sheet_result parse_sheet(std::string_view csv) {
    if (!is_utf8(csv)) {
        int line = 1;
        std::size_t start = 0;
        std::vector<finding> findings;
        while (start < csv.size()) {
            const std::size_t end = std::min(csv.find('\n', start), csv.size());
            if (!is_utf8(csv.substr(start, end - start))) {
                findings.push_back({str_cat("row ", line), "is not UTF-8 text"});
            }
            start = end + 1;
            ++line;
        }
        return findings;
    }
    return sheet_reader(parse_csv(csv)).read();
}

} // namespace eelgrassdoor::config
