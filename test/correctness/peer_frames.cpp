/// \file
/// Frames that are forged, replayed, old or junk are dropped; decoding junk is bounded.
#include "check.hpp"
#include "peer/codec.hpp"
#include "peer/envelope.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::peer;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

const std::string secret = "a secret of enough length";

bool dropped_as(const std::variant<envelope, drop_reason>& opened, drop_reason reason) {
    const auto* got = std::get_if<drop_reason>(&opened);
    return got != nullptr && *got == reason;
}

void check_seal() {
    sealer a(secret, "a", 1);
    sealer b(secret, "b", 1);
    sealer stranger("another secret, also long", "a", 1);
    const std::string frame = a.seal({.type = message_type::gossip, .call_id = 9, .body = "x"});
    const auto opened = b.open(frame);
    require(std::holds_alternative<envelope>(opened) && std::get<envelope>(opened).body == "x" &&
                std::get<envelope>(opened).sender == "a",
            "a frame is opened");
    require(dropped_as(b.open(frame), drop_reason::replayed), "a second time it is a replay");
    require(dropped_as(b.open(stranger.seal({})), drop_reason::forged), "a forged frame");
    sealer restarted(secret, "a", 2);
    require(std::holds_alternative<envelope>(b.open(restarted.seal({}))), "a new incarnation");
    require(dropped_as(b.open(a.seal({})), drop_reason::old_incarnation), "an old incarnation");
}

void check_any_order() {
    property("frames in any order within the window are taken once", [] {
        sealer a(secret, "a", 1);
        sealer b(secret, "b", 1);
        std::vector<std::string> frames;
        for (int i = 0; i < 50; ++i) {
            frames.push_back(a.seal({}));
        }
        const auto order = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, frames.size()));
        std::set<std::size_t> seen;
        for (const std::size_t i : order) {
            const bool taken = std::holds_alternative<envelope>(b.open(frames[i]));
            RC_ASSERT(taken == seen.insert(i).second);
        }
    });
}

void check_changed_bytes() {
    property("a frame with one changed byte is dropped", [](const std::string& body) {
        sealer a(secret, "a", 1);
        sealer b(secret, "b", 1);
        std::string frame = a.seal({.body = body});
        const auto at = *rc::gen::inRange<std::size_t>(0, frame.size());
        frame[at] = static_cast<char>(frame[at] + *rc::gen::inRange(1, 256));
        RC_ASSERT(std::holds_alternative<drop_reason>(b.open(frame)));
    });
}

template <typename Message> void check_junk(const std::string& name) {
    property("junk is read as " + name + " or refused", [](const std::string& bytes) {
        const auto message = decode<Message>(bytes);
        if (message) {
            // What was read cannot be larger than its bounds allow.
            RC_ASSERT(encode(*message).size() <= max_list_entries * max_text_bytes * 4);
        }
    });
    // The largest sizes that the bytes can claim.
    (void)decode<Message>(std::string("\x01") + std::string(64, '\xff'));
}

} // namespace

int main() {
    check_seal();
    check_any_order();
    check_changed_bytes();
    check_junk<gossip>("gossip");
    check_junk<limit_ask>("limit_ask");
    check_junk<limit_answer>("limit_answer");
    check_junk<limit_return>("limit_return");
    check_junk<lane_ask>("lane_ask");
    check_junk<online_load>("online_load");
    check_junk<store_copy>("store_copy");
    check_junk<read_copy>("read_copy");
    check_junk<job_notice>("job_notice");
    sealer s(secret, "s", 1);
    property("junk frames are dropped", [&s](const std::string& bytes) {
        RC_ASSERT(std::holds_alternative<drop_reason>(s.open(bytes)));
    });
    return eelgrassdoor::test::finish();
}
