/// \file
/// Checks that every name in test/outer_names.txt appears in a string literal of the code. These
/// are the names that are visible outside the process: fields and values of messages, stored
/// fields, settings, flags, metrics and events. Guards against a rename of an identifier that also
/// changes what clients, peers, stored data or operators see.
#include "check.hpp"

#include <array>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace {

/// The string literals of all sources, unescaped, each followed by a line break.
std::string string_literals(const std::filesystem::path& root) {
    static const std::regex literal(R"re("((?:[^"\\\n]|\\.)*)")re");
    std::string literals;
    for (const char* folder : {"src", "platform", "apps"}) {
        for (const auto& entry : std::filesystem::recursive_directory_iterator(root / folder)) {
            const std::string extension = entry.path().extension().string();
            if (extension != ".cpp" && extension != ".hpp") {
                continue;
            }
            std::ifstream file(entry.path());
            std::string line;
            while (std::getline(file, line)) {
                if (line.starts_with("#include")) {
                    continue;
                }
                for (std::sregex_iterator found(line.begin(), line.end(), literal), end;
                     found != end; ++found) {
                    literals +=
                        std::regex_replace((*found)[1].str(), std::regex(R"re(\\")re"), "\"");
                    literals += '\n';
                }
            }
        }
    }
    return literals;
}

bool is_word_character(char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_';
}

/// Whether \p name appears in \p text and is not part of a longer word.
bool contains_name(const std::string& text, const std::string& name) {
    for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name, at + 1)) {
        const std::size_t end = at + name.size();
        const bool starts_word =
            at == 0 || !is_word_character(name.front()) || !is_word_character(text[at - 1]);
        const bool ends_word =
            end == text.size() || !is_word_character(name.back()) || !is_word_character(text[end]);
        if (starts_word && ends_word) {
            return true;
        }
    }
    return false;
}

} // namespace

int main(int, char** argv) {
    const std::filesystem::path root = argv[1];
    const std::string literals = string_literals(root);
    std::ifstream names(root / "test" / "outer_names.txt");
    std::size_t count = 0;
    std::string name;
    while (std::getline(names, name)) {
        eelgrassdoor::test::require(contains_name(literals, name),
                                    "the outer name '" + name + "' is in no string literal");
        ++count;
    }
    eelgrassdoor::test::require(count >= 500, "test/outer_names.txt has only " +
                                                  std::to_string(count) + " names");
    return eelgrassdoor::test::finish();
}
