#include "serving/relay_call.hpp"

#include "base/text.hpp"
#include "peer/codec.hpp"

#include <array>
#include <utility>

namespace eelgrassdoor::serving {

template <typename Archive> void serialize(Archive& ar, relay_order& order) {
    peer::serialize_string(ar, order.endpoint);
    peer::serialize_string(ar, order.target);
    ar(order.started_at);
}

namespace {

constexpr std::string_view order_header = "Eelgrassdoor-Relay";
/// Apart from the order, since callers choose the ids of requests and how long they are.
constexpr std::string_view request_id_header = "Eelgrassdoor-Relay-Request";
constexpr std::string_view refusal_header = "Eelgrassdoor-Relay-Refused";

constexpr std::array<std::pair<relay_refusal, std::string_view>, 5> refusal_names{{
    {relay_refusal::partitioned, "partitioned"},
    {relay_refusal::unreachable, "unreachable"},
    {relay_refusal::target_leaving, "target_leaving"},
    {relay_refusal::busy, "busy"},
    {relay_refusal::stopping, "stopping"},
}};

} // namespace

bool is_relay_call(const net::http_request& request) {
    return request.headers.find(order_header) != nullptr;
}

void add_relay_order(net::http_request& request, const relay_order& order) {
    request.headers.set(order_header, to_base64(peer::encode(order)));
    request.headers.set(request_id_header, order.request);
}

std::optional<relay_order> take_relay_order(net::http_request& request) {
    const std::string bytes = from_base64(request.headers.get(order_header));
    std::optional<relay_order> order = peer::decode<relay_order>(bytes);
    if (order) {
        order->request = request.headers.get(request_id_header);
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

void remove_refusal(net::http_response& response) {
    response.headers.remove(refusal_header);
}

} // namespace eelgrassdoor::serving
