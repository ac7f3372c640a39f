/// \file
/// Guards against relayed requests that reach their target changed, and against targets' responses
/// that are taken for a refusal of the relaying daemon.
#include "base/text.hpp"
#include "check.hpp"
#include "serving/relay_call.hpp"
#include "serving/relay_hosts.hpp"

#include <string>

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;
using namespace eelgrassdoor::serving;

namespace {

/// What an order ends with since it tells which quarantine holds the request back.
constexpr std::size_t gate_bytes = 11;

void check_orders() {
    net::http_request request;
    request.headers.set("Host", "h");
    require(!is_relay_call(request), "an ordinary request is not to be relayed");
    const relay_order sent{.process = {"target \xff", "127.0.0.1:1", 7},
                           .check = process_check::require_listed,
                           .request = std::string(5000, 'r'),
                           .gate = gate_kind::item,
                           .fingerprint = 0xfedcba9876543210};
    add_relay_order(request, sent);
    require(is_relay_call(request), "a request with an order is");
    const std::string order_name = request.headers.all()[1].name;
    net::http_request received = request;
    const auto order = take_relay_order(received);
    require(order && order->process.endpoint == "127.0.0.1:1" &&
                order->process.target == "target \xff" && order->process.started_at == 7 &&
                order->check == process_check::require_listed &&
                order->request == std::string(5000, 'r') && order->gate == gate_kind::item &&
                order->fingerprint == 0xfedcba9876543210,
            "the order arrives whole");
    require(!is_relay_call(received) && received.headers.all().size() == 1,
            "the target gets the request without the order");
    // Older builds send the order and its check, or the order alone.
    const std::string whole = from_base64(request.headers.get(order_name));
    net::http_request older = request;
    older.headers.set(order_name,
                      to_base64(std::string_view(whole).substr(0, whole.size() - gate_bytes)));
    const auto older_order = take_relay_order(older);
    require(older_order && older_order->check == process_check::require_listed &&
                older_order->gate == gate_kind::open && !older_order->fingerprint,
            "an order without a gate keeps its check and holds nothing back");
    net::http_request oldest = request;
    oldest.headers.set(order_name,
                       to_base64(std::string_view(whole).substr(0, whole.size() - gate_bytes - 1)));
    const auto oldest_order = take_relay_order(oldest);
    require(oldest_order && oldest_order->check == process_check::none &&
                oldest_order->gate == gate_kind::open,
            "an order alone demands no check and holds nothing back");
    for (const char* malformed : {"", "????", "AAAA", "////////////"}) {
        net::http_request damaged = request;
        damaged.headers.set(order_name, malformed);
        require(!take_relay_order(damaged), "a malformed order is rejected");
    }
}

void check_refusals() {
    for (const relay_refusal each :
         {relay_refusal::partitioned, relay_refusal::unreachable, relay_refusal::target_silent,
          relay_refusal::target_leaving, relay_refusal::other_process, relay_refusal::stopping,
          relay_refusal::quarantined}) {
        require(refusal_of(make_refusal(each)) == each, "a refusal keeps its reason");
    }
    net::http_response response = make_refusal(relay_refusal::stopping);
    const std::string header = response.headers.all().front().name;
    response.headers.set(header, "a reason of a later build");
    require(refusal_of(response) == relay_refusal::unreachable, "an unknown reason is a refusal");
    add_process_start(response, 7);
    net::http_response received = response;
    require(take_process_start(received) == 7 && !take_process_start(received),
            "the start of the target's process is read and removed");
    remove_relay_headers(response);
    require(!refusal_of(response) && !take_process_start(response),
            "a target's response is no refusal and names no process");
}

void check_choice() {
    random_source random(1);
    fleet::member_map members;
    for (const std::string host : {"a", "b", "c", "old", "self", "silent"}) {
        members[host] = {.host = host, .relays_requests = host != "old"};
    }
    const auto is_heard = [](std::string_view host) { return host != "silent"; };
    relay_hosts relays;
    const time_point now{};
    relays.avoid("b", now);
    for (int i = 0; i < 20; ++i) {
        const auto order = relays.order(members, "self", is_heard, now, random);
        require(order.size() == 3 && order.back().host == "b",
                "heard daemons that can relay are tried, the one that could not last");
    }
    bool is_first = false;
    for (int i = 0; i < 50; ++i) {
        const auto later =
            relays.order(members, "self", is_heard, now + relay_hosts::avoidance_time, random);
        is_first = is_first || later.front().host == "b";
    }
    require(is_first, "a daemon is avoided for a while only");
}

} // namespace

int main() {
    check_orders();
    check_refusals();
    check_choice();
    return finish();
}
