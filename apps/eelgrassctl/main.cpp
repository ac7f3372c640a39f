/// \file
/// Entry point of eelgrassctl, the command line for operators.
#include "commands.hpp"

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return eelgrassdoor::ctl::run(arguments, std::cout, std::cerr);
}
