#include "serving/relay_call.hpp"

#include "base/text.hpp"
#include "peer/codec.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace eelgrassdoor::serving {

template <typename Archive> void serialize(Archive& ar, relay_order& order) {
    peer::serialize_string(ar, order.process.endpoint);
    peer::serialize_string(ar, order.process.target);
    ar(order.process.started_at);
}

/// The part of an order that follows its check.
struct order_gate {
    std::uint8_t kind = 0;
    std::optional<std::uint64_t> fingerprint;
};

template <typename Archive> void serialize(Archive& ar, order_gate& gate) {
    bool has_fingerprint = gate.fingerprint.has_value();
    std::uint64_t fingerprint = gate.fingerprint.value_or(0);
    ar(gate.kind, has_fingerprint, fingerprint);
    gate.fingerprint = has_fingerprint ? std::optional(fingerprint) : std::nullopt;
}

namespace {

constexpr std::string_view order_header = "Eelgrassdoor-Relay";
/// Apart from the order, since callers choose the ids of requests and how long they are.
constexpr std::string_view request_id_header = "Eelgrassdoor-Relay-Request";
constexpr std::string_view refusal_header = "Eelgrassdoor-Relay-Refused";
constexpr std::string_view process_start_header = "Eelgrassdoor-Relay-Process";

constexpr std::array<std::pair<relay_refusal, std::string_view>, 8> refusal_names{{
    {relay_refusal::partitioned, "partitioned"},
    {relay_refusal::unreachable, "unreachable"},
    {relay_refusal::target_silent, "target_silent"},
    {relay_refusal::target_leaving, "target_leaving"},
    {relay_refusal::other_process, "other_process"},
    {relay_refusal::busy, "busy"},
    {relay_refusal::stopping, "stopping"},
    {relay_refusal::quarantined, "quarantined"},
}};

/// The check that follows an order; none in the order of an older build.
process_check read_check(std::string_view bytes) {
    const std::uint8_t value = bytes.empty() ? 0 : static_cast<std::uint8_t>(bytes.front());
    return value <= static_cast<std::uint8_t>(process_check::require_listed)
               ? static_cast<process_check>(value)
               : process_check::none;
}

/// Reads what follows the check; nothing does in the order of an older build.
void read_gate(std::string_view bytes, relay_order& order) {
    const std::optional<order_gate> gate = peer::decode<order_gate>(bytes);
    if (gate && gate->kind <= static_cast<std::uint8_t>(gate_kind::item)) {
        order.gate = static_cast<gate_kind>(gate->kind);
        order.fingerprint = gate->fingerprint;
    }
}

} // namespace

bool is_relay_call(const net::http_request& request) {
    return request.headers.find(order_header) != nullptr;
}

void add_relay_order(net::http_request& request, const relay_order& order) {
    // Older builds ignore the bytes behind the order.
    const std::string bytes =
        peer::encode(order) + static_cast<char>(static_cast<std::uint8_t>(order.check)) +
        peer::encode(order_gate{static_cast<std::uint8_t>(order.gate), order.fingerprint});
    request.headers.set(order_header, to_base64(bytes));
    request.headers.set(request_id_header, order.request);
}

std::optional<relay_order> take_relay_order(net::http_request& request) {
    const std::string bytes = from_base64(request.headers.get(order_header));
    std::string_view rest = bytes;
    std::optional<relay_order> order = peer::decode_front<relay_order>(rest);
    if (order) {
        order->request = request.headers.get(request_id_header);
        order->check = read_check(rest);
        read_gate(rest.substr(std::min<std::size_t>(1, rest.size())), *order);
    }
    request.headers.remove(order_header);
    request.headers.remove(request_id_header);
    return order;
}

net::http_response make_refusal(relay_refusal reason) {
    net::http_response response;
    response.status = 503;
    for (const auto& [each, name] : refusal_names) {
        if (each == reason) {
            response.headers.set(refusal_header, name);
        }
    }
    return response;
}

std::optional<relay_refusal> refusal_of(const net::http_response& response) {
    const std::string* reason = response.headers.find(refusal_header);
    if (reason == nullptr) {
        return std::nullopt;
    }
    for (const auto& [each, name] : refusal_names) {
        if (name == *reason) {
            return each;
        }
    }
    return relay_refusal::unreachable;
}

void remove_relay_headers(net::http_response& response) {
    response.headers.remove(refusal_header);
    response.headers.remove(process_start_header);
}

void add_process_start(net::http_response& response, std::uint64_t started_at) {
    response.headers.set(process_start_header, std::to_string(started_at));
}

std::optional<std::uint64_t> take_process_start(net::http_response& response) {
    std::uint64_t started_at = 0;
    const bool is_valid = parse_int(response.headers.get(process_start_header), started_at);
    response.headers.remove(process_start_header);
    return is_valid ? std::optional(started_at) : std::nullopt;
}

} // namespace eelgrassdoor::serving
