/// \file
/// Tests that forged, replayed, outdated and malformed frames are dropped, and that decoding
/// malformed messages allocates a bounded amount of memory.
#include "check.hpp"
#include "peer/codec.hpp"
#include "peer/envelope.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::peer;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

const std::string secret = "a secret of enough length";

bool is_dropped_as(const std::variant<envelope, drop_reason>& verified, drop_reason reason) {
    const auto* got = std::get_if<drop_reason>(&verified);
    return got != nullptr && *got == reason;
}

void check_verification() {
    frame_authenticator a(secret, "a", 1);
    frame_authenticator b(secret, "b", 1);
    frame_authenticator other_secret("another secret, also long", "a", 1);
    const std::string frame = a.sign({.type = message_type::gossip, .call_id = 9, .body = "x"});
    const auto verified = b.verify(frame);
    require(std::holds_alternative<envelope>(verified) &&
                std::get<envelope>(verified).body == "x" &&
                std::get<envelope>(verified).sender == "a",
            "a signed frame is accepted with its sender and body");
    require(is_dropped_as(b.verify(frame), drop_reason::replayed),
            "a frame received twice is dropped as replayed");
    require(is_dropped_as(b.verify(other_secret.sign({})), drop_reason::forged),
            "a frame signed with another secret is dropped as forged");
    frame_authenticator restarted_sender(secret, "a", 2);
    require(std::holds_alternative<envelope>(b.verify(restarted_sender.sign({}))),
            "a frame of a newer incarnation is accepted");
    require(is_dropped_as(b.verify(a.sign({})), drop_reason::old_incarnation),
            "a frame of an earlier incarnation is dropped as old_incarnation");
}

void check_reordered_frames() {
    property("frames reordered within the replay window are accepted exactly once", [] {
        frame_authenticator a(secret, "a", 1);
        frame_authenticator b(secret, "b", 1);
        std::vector<std::string> frames;
        for (int i = 0; i < 50; ++i) {
            frames.push_back(a.sign({}));
        }
        const auto order = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, frames.size()));
        std::set<std::size_t> seen;
        for (const std::size_t i : order) {
            const bool accepted = std::holds_alternative<envelope>(b.verify(frames[i]));
            RC_ASSERT(accepted == seen.insert(i).second);
        }
    });
}

void check_modified_frames() {
    property("a frame with one modified byte is dropped", [](const std::string& body) {
        frame_authenticator a(secret, "a", 1);
        frame_authenticator b(secret, "b", 1);
        std::string frame = a.sign({.body = body});
        const auto at = *rc::gen::inRange<std::size_t>(0, frame.size());
        frame[at] = static_cast<char>(frame[at] + *rc::gen::inRange(1, 256));
        RC_ASSERT(std::holds_alternative<drop_reason>(b.verify(frame)));
    });
}

template <typename Message> void check_malformed_message(const std::string& name) {
    property("random bytes either decode as a bounded " + name + " or are rejected",
             [](const std::string& bytes) {
                 const auto message = decode<Message>(bytes);
                 if (message) {
                     // The limits of strings and lists bound the size of a decoded message.
                     RC_ASSERT(encode(*message).size() <= max_list_entries * max_string_bytes * 4);
                 }
             });
    // Length fields with their largest possible value. The first byte marks little-endian data.
    (void)decode<Message>(std::string("\x01") + std::string(64, '\xff'));
}

} // namespace

int main() {
    check_verification();
    check_reordered_frames();
    check_modified_frames();
    check_malformed_message<gossip>("gossip");
    check_malformed_message<limit_request>("limit_request");
    check_malformed_message<limit_response>("limit_response");
    check_malformed_message<limit_return>("limit_return");
    check_malformed_message<batch_grant_request>("batch_grant_request");
    check_malformed_message<online_load>("online_load");
    check_malformed_message<store_copy>("store_copy");
    check_malformed_message<read_copy>("read_copy");
    check_malformed_message<job_notice>("job_notice");
    frame_authenticator s(secret, "s", 1);
    property("random bytes are dropped as a frame", [&s](const std::string& bytes) {
        RC_ASSERT(std::holds_alternative<drop_reason>(s.verify(bytes)));
    });
    return eelgrassdoor::test::finish();
}
