/// \file
/// Tests which daemon may claim a slot of a zone, and the encoding of the slot record.
#include "check.hpp"
#include "limits/slot_record.hpp"

namespace {

using namespace eelgrassdoor::limits;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

claim_context make_context(std::string_view host, std::uint64_t incarnation, bool listed,
                           bool heard) {
    return {host,
            incarnation,
            [listed](std::string_view) { return listed; },
            [heard](std::string_view) { return heard; },
            [](std::size_t) { return true; },
            [](std::size_t) { return true; }};
}

void check_reasons() {
    slot_record record;
    auto claim = find_claim(record, make_context("a", 1, true, true));
    require(claim && claim->reason == claim_reason::never_held,
            "a slot that was never held is claimed");
    record = apply_claim(record, *claim, "a", 1);
    record.slots[1] = {"b", 1};
    require(!find_claim(record, make_context("a", 1, false, false)) ||
                find_claim(record, make_context("a", 1, false, false))->slot == 1,
            "a holder does not claim the slot that it already uses");
    require(!find_claim(record, make_context("c", 1, true, false)),
            "a silent holder on the host list keeps its slot");
    require(!find_claim(record, make_context("c", 1, false, true)),
            "a holder heard recently keeps its slot");
    claim = find_claim(record, make_context("c", 1, false, false));
    require(claim && claim->reason == claim_reason::holder_gone,
            "the slot of a holder neither listed nor heard recently is claimed");
    claim = find_claim(record, make_context("a", 2, true, true));
    require(claim && claim->slot == 0 && claim->reason == claim_reason::own_restart,
            "a restarted holder claims its slot again");
    claim_context unused_claim = make_context("a", 1, true, true);
    unused_claim.holds = [](std::size_t) { return false; };
    claim = find_claim(record, unused_claim);
    require(claim && claim->reason == claim_reason::own_restart,
            "a slot that its claimant could not start to use is claimed again");
    record = apply_release(record, 0);
    claim = find_claim(record, make_context("c", 1, true, true));
    require(claim && claim->slot == 0 && claim->reason == claim_reason::released,
            "a released slot is claimed at once");
}

void check_codec() {
    property("a record is equal after encoding to JSON and decoding", [] {
        slot_record record;
        record.epoch = *rc::gen::arbitrary<std::uint64_t>();
        for (slot_holder& s : record.slots) {
            s = {*rc::gen::container<std::string>(rc::gen::elementOf(std::string("az09-"))),
                 *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<bool>()};
        }
        RC_ASSERT(slot_record_from_json(to_json(record)) == record);
    });
    property("decoding any text does not crash",
             [](const std::string& text) { (void)slot_record_from_json(text); });
}

} // namespace

int main() {
    check_reasons();
    check_codec();
    return eelgrassdoor::test::finish();
}
