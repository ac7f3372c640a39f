#include "settings/finding.hpp"

#include "base/text.hpp"

namespace eelgrassdoor {

std::string to_text(std::span<const finding> findings) {
    std::string out;
    for (const finding& f : findings) {
        str_append(out, f.place, ": ", f.message, "\n");
    }
    return out;
}

} // namespace eelgrassdoor
