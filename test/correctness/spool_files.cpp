/// \file
/// Torn or damaged records at the end of a file are found, and never read as results.
#include "check.hpp"
#include "spool/segment.hpp"
#include "spool/spool.hpp"

#include <filesystem>
#include <unistd.h>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::spool;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

std::vector<std::string> read_payloads(std::string_view bytes, std::size_t& valid_bytes) {
    std::vector<std::string> out;
    valid_bytes = read_records(bytes, [&out](std::string_view p) { out.emplace_back(p); });
    return out;
}

void check_torn_tail() {
    property("a cut file gives the whole records before the cut", [] {
        const auto payloads = *rc::gen::arbitrary<std::vector<std::string>>();
        std::string bytes;
        std::vector<std::size_t> ends{0};
        for (const std::string& p : payloads) {
            bytes += encode_record(p);
            ends.push_back(bytes.size());
        }
        const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
        std::size_t valid_bytes = 0;
        const auto read = read_payloads(std::string_view(bytes).substr(0, cut), valid_bytes);
        RC_ASSERT(valid_bytes <= cut);
        RC_ASSERT(ends[read.size()] == valid_bytes);
        RC_ASSERT(read.size() == payloads.size() || ends[read.size() + 1] > cut);
        RC_ASSERT(std::equal(read.begin(), read.end(), payloads.begin()));
    });
    property("a changed byte ends the reading before it", [] {
        std::string bytes = encode_record("first") + encode_record("second");
        const auto at = *rc::gen::inRange<std::size_t>(encode_record("first").size(), bytes.size());
        bytes[at] = static_cast<char>(bytes[at] ^ 0x40);
        std::size_t valid_bytes = 0;
        RC_ASSERT(read_payloads(bytes, valid_bytes) == std::vector<std::string>{"first"});
    });
}

void check_files() {
    namespace fs = std::filesystem;
    const fs::path folder =
        fs::temp_directory_path() / ("eelgrassdoor-spool-" + std::to_string(getpid()));
    eelgrassdoor::spool::spool store(folder.string());
    require(store.write("s-1", "items", 0, "hello", true).value() == 5, "bytes are written");
    require(store.write("s-1", "items", 5, " you", true).value() == 9, "more are appended");
    require(!store.write("s-1", "items", 20, "x", true), "a gap is refused");
    require(store.write("s-1", "items", 5, "!", true).value() == 6,
            "bytes that were never committed are replaced");
    require(store.read("s-1", "items", 0, 100).value() == "hello!", "and read back");
    require(!store.read("s-2", "items", 0, 1), "a file that is not there");
    require(!store.write("../x", "items", 0, "x", true), "names cannot leave the folder");
    require(store.list() == std::vector<std::string>{"s-1"}, "storages are listed");
    store.remove("s-1");
    require(store.list().empty(), "and removed");
    fs::remove_all(folder);
    eelgrassdoor::spool::spool unwritable("/dev/full/nowhere");
    require(!unwritable.write("s-1", "items", 0, "x", true),
            "a disk that takes nothing is an error");
}

} // namespace

int main() {
    check_torn_tail();
    check_files();
    return eelgrassdoor::test::finish();
}
