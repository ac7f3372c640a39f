/// \file
/// Checks that incomplete or damaged records at the end of a file, as a crash leaves them, are
/// detected and not read as results.
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

void check_truncated_records() {
    property("a truncated file yields all complete records before the cut", [] {
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
    property("a changed byte ends reading before its record", [] {
        std::string bytes = encode_record("first") + encode_record("second");
        const auto at = *rc::gen::inRange<std::size_t>(encode_record("first").size(), bytes.size());
        bytes[at] = static_cast<char>(bytes[at] ^ 0x40);
        std::size_t valid_bytes = 0;
        RC_ASSERT(read_payloads(bytes, valid_bytes) == std::vector<std::string>{"first"});
    });
}

void check_files() {
    namespace fs = std::filesystem;
    const fs::path directory =
        fs::temp_directory_path() / ("eelgrassdoor-spool-" + std::to_string(getpid()));
    eelgrassdoor::spool::spool store(directory.string());
    require(store.write("s-1", "items", 0, "hello", true).value() == 5,
            "write should return the size of the new file");
    require(store.write("s-1", "items", 5, " you", true).value() == 9,
            "write should append at the end of the file");
    require(!store.write("s-1", "items", 20, "x", true),
            "write beyond the end of the file should fail");
    require(store.write("s-1", "items", 5, "!", true).value() == 6,
            "write should replace the uncommitted bytes after the offset");
    require(store.read("s-1", "items", 0, 100).value() == "hello!",
            "read should return the bytes written");
    require(!store.read("s-2", "items", 0, 1), "read of a missing file should fail");
    require(!store.write("../x", "items", 0, "x", true), "a name with a path should be refused");
    require(store.list() == std::vector<std::string>{"s-1"},
            "list should return the storage written");
    store.remove("s-1");
    require(store.list().empty(), "list should not return a removed storage");
    fs::remove_all(directory);
    eelgrassdoor::spool::spool unwritable("/dev/full/nowhere");
    require(!unwritable.write("s-1", "items", 0, "x", true),
            "write to an unwritable directory should fail");
}

} // namespace

int main() {
    check_truncated_records();
    check_files();
    return eelgrassdoor::test::finish();
}
