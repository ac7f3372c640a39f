/// \file
/// Every name with an underscore that a page cites in code spelling exists: identifiers, tests and
/// source files. Guards against pages that keep a name after it was changed in the code.
#include "check.hpp"

#include <array>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace {

namespace fs = std::filesystem;
using eelgrassdoor::test::require;

std::string read_text(const fs::path& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The contents and the paths, relative to the root, of all files that pages may cite.
std::string collect_sources(const fs::path& root) {
    std::string all;
    for (const char* folder :
         {"src", "platform", "apps", "test", "tools", "examples", "deploy", "docs"}) {
        for (const auto& entry : fs::recursive_directory_iterator(root / folder)) {
            if (!entry.is_regular_file()) {
                continue;
            }
            all += fs::relative(entry.path(), root).string() + "\n";
            if (std::string_view(folder) != "docs") {
                all += read_text(entry.path());
            }
        }
    }
    return all;
}

/// The names with an underscore in the code spans of one page, with the folders before them.
std::vector<std::string> cited_names(const std::string& page) {
    static const std::regex span("`([^`\n]+)`");
    static const std::regex name("(?:[a-z0-9]+/)*[a-z0-9]+(?:_[a-z0-9]+)+");
    std::vector<std::string> names;
    for (std::sregex_iterator s(page.begin(), page.end(), span), end; s != end; ++s) {
        const std::string code = (*s)[1].str();
        for (std::sregex_iterator n(code.begin(), code.end(), name); n != end; ++n) {
            names.push_back(n->str());
        }
    }
    return names;
}

/// CMake makes the names of some tests from these prefixes and the names of their files.
constexpr std::array<std::string_view, 2> test_prefixes = {"scenario_", "platform_"};

bool exists(const std::string& sources, std::string_view name) {
    if (sources.find(name) != std::string::npos) {
        return true;
    }
    for (const std::string_view prefix : test_prefixes) {
        if (name.starts_with(prefix) && sources.find("/" + std::string(name.substr(prefix.size())) +
                                                     ".") != std::string::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

int main(int, char** argv) {
    const fs::path root = argv[1];
    const std::string sources = collect_sources(root);
    std::vector<fs::path> pages{root / "README.md"};
    for (const auto& entry : fs::recursive_directory_iterator(root / "docs")) {
        if (entry.path().extension() == ".md") {
            pages.push_back(entry.path());
        }
    }
    std::size_t count = 0;
    for (const fs::path& page : pages) {
        for (const std::string& name : cited_names(read_text(page))) {
            require(exists(sources, name), fs::relative(page, root).string() + " cites '" + name +
                                               "', which is in no source file");
            ++count;
        }
    }
    require(count > 0, "the pages cite no names at all");
    return eelgrassdoor::test::finish();
}
