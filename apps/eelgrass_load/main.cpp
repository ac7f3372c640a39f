/// \file
/// Entry point of eelgrass_load, which sends open-loop load to entry hosts and reports the results.
#include "load_driver.hpp"
#include "load_report.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>

int main(int argc, char** argv) {
    using namespace eelgrassdoor;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const load::parse_outcome parsed = load::parse_load_options(arguments);
    if (const auto* information = std::get_if<load::information_request>(&parsed)) {
        std::cout << information->text;
        return EXIT_SUCCESS;
    }
    if (const auto* findings = std::get_if<std::vector<finding>>(&parsed)) {
        std::cerr << to_text(*findings);
        return EXIT_FAILURE;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const auto& options = std::get<load::load_options>(parsed);
    const load::load_result result = load::run_load(options);
    load::print_report(options, result.records, std::cout);
    for (const load::batch_progress& b : result.batches) {
        std::cout << "batch " << b.job << ": " << b.completed_items << " items done in "
                  << b.elapsed_s << " s, " << b.completed_items / b.elapsed_s << " items/s\n";
    }
    if (!options.csv_path.empty()) {
        load::write_csv(options, result.records);
    }
    if (!options.svg_path.empty()) {
        load::write_svg(options, result.records);
    }
    return EXIT_SUCCESS;
}
