/// \file
/// Tests that an invalid sheet yields every error with its row and column, and nothing else.
#include "check.hpp"
#include "config/sheet_parser.hpp"

#include <algorithm>
#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::config;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

constexpr std::string_view header =
    "record,name,rate_per_second,burst,weight,kind,model,access,idempotent,timeout_ms,"
    "batch_reserve_percent\n";

std::vector<finding> findings_of(std::string_view text) {
    const sheet_result outcome = parse_sheet(text);
    const auto* findings = std::get_if<std::vector<finding>>(&outcome);
    return findings == nullptr ? std::vector<finding>{} : *findings;
}

bool has_finding(const std::vector<finding>& findings, const std::string& place,
                 const std::string& text) {
    return std::ranges::any_of(findings, [&](const finding& f) {
        return f.place == place && f.message.find(text) != std::string::npos;
    });
}

void check_all_reported() {
    const std::vector<finding> found =
        findings_of(std::string(header) + "availability_zone,z1,,,,,,,,,\n"
                                          "customer,c1,-5,10,1,,,,,,\n"
                                          "customer,c1,5,10,1,,,,,,\n"
                                          "route,r1,,,,model,nowhere,keyed,yes,100,\n"
                                          "route,r2,,,,service,,keyed,perhaps,100,\n"
                                          "planet,p,,,,,,,,,\n"
                                          "customer,c2,5\n");
    require(has_finding(found, "row 3, column \"rate_per_second\"", "-5"),
            "a negative rate is reported");
    require(has_finding(found, "row 4, column \"name\"", "appears twice"),
            "a duplicate customer is reported");
    require(has_finding(found, "row 5, column \"model\"", "does not exist"),
            "an unknown model is reported");
    require(has_finding(found, "row 6, column \"idempotent\"", "perhaps"),
            "a value that is neither yes nor no is reported");
    require(has_finding(found, "row 7, column \"record\"", "planet"),
            "an unknown record type is reported");
    require(has_finding(found, "row 8", "cells"), "a row with too few cells is reported");
    require(found.size() == 6, "there are no findings but these six: " + to_text(found));
}

void check_header_and_text() {
    require(has_finding(findings_of("record,nome\n"), "row 1, column \"nome\"", "is not a column"),
            "an unknown column is reported");
    require(has_finding(findings_of(std::string(header) + "customer,c\xff,1,1,1,,,,,,\n"), "row 2",
                        "UTF-8"),
            "a row that is not UTF-8 is reported");
    require(has_finding(findings_of(""), "row 1", "empty"), "an empty sheet is reported");
    require(has_finding(findings_of(std::string(header) + "customer,\"c1,1,1,1,,,,,,\n"), "row 2",
                        "not closed"),
            "an unclosed quoted cell is reported");
}

void check_any_text() {
    property("arbitrary text gives a sheet or at least one finding", [](const std::string& text) {
        const sheet_result outcome = parse_sheet(text);
        if (const auto* found = std::get_if<std::vector<finding>>(&outcome)) {
            RC_ASSERT(!found->empty());
        }
    });
    property("arbitrary cells under a valid header do not crash the parser", [] {
        const auto cells = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(
            std::vector<std::string>{"customer", "route", "model", ",", "\n", "1", "\"", "z", "-3",
                                     "yes", "keyed", "1e400", "nan", "\xc3\x28"}));
        std::string text(header);
        for (const std::string& cell : cells) {
            text += cell;
        }
        (void)parse_sheet(text);
    });
}

} // namespace

int main() {
    check_all_reported();
    check_header_and_text();
    check_any_text();
    return eelgrassdoor::test::finish();
}
