/// \file
/// Tests that the version in force never decreases, that documents survive transfer between
/// daemons, and that keys are checked without being stored.
#include "base/digest.hpp"
#include "check.hpp"
#include "config/current_configuration.hpp"

#include <algorithm>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::config;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

constexpr std::string_view small_sheet =
    "record,name,rate_per_second,burst,weight,kind,model,access,idempotent,timeout_ms,"
    "batch_reserve_percent\n"
    "availability_zone,z1,,,,,,,,,\n"
    "customer,c1,5,10,1,,,,,,\n"
    "model,m1,,,,,,,,,20\n"
    "route,r1,,,,model,m1,keyed,yes,1000,\n";

document_ptr make_document(std::uint64_t version) {
    key_set keys;
    keys.add(make_key("c1").record);
    const std::string keys_text = keys_to_json(keys);
    head_record head;
    head.version = version;
    head.sheet_digest = sha256_hex(small_sheet);
    head.keys_digest = sha256_hex(keys_text);
    return build_document(head, small_sheet, keys_text);
}

void check_version_monotonic() {
    const document_ptr base = make_document(1);
    property("the version in force is the highest offered so far", [&base] {
        const auto versions =
            *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 50));
        current_configuration current;
        std::uint64_t highest = 0;
        for (const std::uint64_t version : versions) {
            document doc = *base;
            doc.head.version = version;
            const bool taken = current.offer(std::make_shared<const document>(doc));
            RC_ASSERT(taken == (version > highest));
            highest = std::max(highest, version);
            RC_ASSERT(current.version() == highest);
        }
    });
}

void check_transfer() {
    const document_ptr doc = make_document(7);
    require(doc != nullptr, "a document is built from matching bodies");
    const std::string text = encode_document(*doc);
    const document_ptr copy = decode_document(text);
    require(copy != nullptr && copy->head.version == 7 && copy->parsed == doc->parsed &&
                copy->keys == doc->keys,
            "a document is unchanged after encoding and decoding");
    std::string damaged = text;
    const std::size_t at = damaged.find("c1,5,10");
    damaged.replace(at, 7, "c1,9,99");
    require(decode_document(damaged) == nullptr,
            "a sheet that does not match its digest is rejected");
    property("arbitrary text is rejected without a crash",
             [](const std::string& any) { RC_ASSERT(decode_document(any) == nullptr); });
}

void check_keys() {
    key_set keys;
    const new_key key = make_key("c1");
    keys.add(key.record);
    require(keys.find(key.raw) != nullptr, "a generated key is found");
    require(keys.find(key.raw + "x") == nullptr, "a key with an extra character is not found");
    require(keys_to_json(keys).find(key.raw) == std::string::npos,
            "the stored form does not contain the raw key");
    require(keys_to_json(keys).find(key.raw.substr(key.raw.rfind('_'))) == std::string::npos,
            "the stored form does not contain the secret part of the key");
    require(keys.withdraw(key.record.id) && keys.find(key.raw) == nullptr,
            "a withdrawn key is not found");
}

} // namespace

int main() {
    check_version_monotonic();
    check_transfer();
    check_keys();
    return eelgrassdoor::test::finish();
}
