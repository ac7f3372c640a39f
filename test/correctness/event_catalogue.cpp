/// \file
/// Checks that docs/EVENTS.md and the event catalogue in the code list the same events.
#include "check.hpp"
#include "observe/event.hpp"

#include <fstream>
#include <set>
#include <sstream>

using eelgrassdoor::observe::event_catalogue;
using eelgrassdoor::observe::event_info;
using eelgrassdoor::test::require;

int main(int, char** argv) {
    std::ifstream file(argv[1]);
    std::stringstream text;
    text << file.rdbuf();
    const std::string page = text.str();
    std::set<int> numbers;
    std::size_t rows = 0;
    for (const event_info& e : event_catalogue()) {
        require(numbers.insert(static_cast<int>(e.id)).second,
                "event number is used more than once: " + std::string(e.name));
        const std::string row = "| " + std::to_string(static_cast<int>(e.id)) + " | `" +
                                std::string(e.name) + "` | " + std::string(e.meaning) + " |";
        require(page.find(row) != std::string::npos, "docs/EVENTS.md has no row: " + row);
    }
    for (std::size_t at = page.find("| `"); at != std::string::npos;
         at = page.find("| `", at + 1)) {
        ++rows;
    }
    require(rows == event_catalogue().size(),
            "docs/EVENTS.md should have one row per event of the catalogue");
    return eelgrassdoor::test::finish();
}
