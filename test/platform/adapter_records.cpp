/// \file
/// The adapter on the platform's own examples, good and broken.
#include "boot_settings.hpp"
#include "caller_interface.hpp"
#include "check.hpp"
#include "engine_entry.hpp"
#include "operator_records.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::platform_adapter;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

const std::string settings_text = R"(node=edge-orange-valley-1
machineClass=edge
serves=edge,control
ip=10.1.0.21
zone=orange-valley
listen.front=10.1.0.21:8689
listen.readiness=10.1.0.21:8687
internalPorts=7360,7375
seeds=10.1.0.21:8683,10.2.0.21:8683
bootstrap=true
limits.maxFds=4100
bounds.graceS=8
provider.address=10.200.1.7:8688
something.new=ignored
)";

void check_settings() {
    const boot_settings_outcome good = parse_boot_settings(settings_text, 9464);
    require(good.findings.empty(), "the example is read: " + to_text(good.findings));
    const host::host_settings& host = good.settings.host;
    require(host.peer_endpoint == "10.1.0.21:7360", "daemons talk on the first internal port");
    require(host.seeds == std::vector<std::string>{"10.1.0.21:7360", "10.2.0.21:7360"},
            "also to the seeds");
    require(host.serves_callers && !host.runs_jobs && host.first_start, "the role is read");
    require(host.metrics_endpoint == "10.1.0.21:9464", "metrics have their own port");
    require(good.settings.store_endpoint == "10.200.1.7:8688", "the store's address is read");
    const boot_settings_outcome bad =
        parse_boot_settings("node=x\nzone=a\nip=10.0.0.1\nnonsense\nserves=edge\n"
                            "listen.front=nowhere\nbounds.graceS=soon\n",
                            0);
    require(bad.findings.size() >= 5, "all faults are reported together: " + to_text(bad.findings));
}

const std::string configuration = R"({"version":7,"routes":[
{"name":"r1","host":"a.example","pathPrefix":"/p/","kind":"streaming","timeoutMs":5000,
 "targetLatencyMs":300,"priority":0,"service":"s","maxAttempts":2,"public":false,"resumable":true},
{"name":"r2","host":"a.example","pathPrefix":"/p/q/","kind":"unsafe","public":true,
 "weightedServices":[{"service":"s","weight":90},{"service":"t","weight":10}]},
{"name":"r3","host":"b.example","pathPrefix":"/j/","kind":"batch","service":"s","cap":1000,
 "completionTargetMs":18000,"queueTtlS":60,"maxAttempts":3}],
"services":[{"name":"s","maxConnections":370,"engine":{"slots":8,"kvCapacityTokens":119674}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"c","apiKeys":["k1","k2"],"priority":1,"ratePerS":34,"burst":30}]})";

void check_configuration() {
    const result<config::serving_plan> plan = decode_configuration(configuration);
    require(plan.has_value(), "the example is read");
    const config::serving_plan& p = plan.value();
    require(p.version == 7 && p.requires_keys && p.keys.at("k2") == "c",
            "version and keys are read");
    require(p.match("a.example", "/p/x")->name == "r1", "host and prefix find the route");
    require(p.match("A.EXAMPLE", "/p/q/x")->name == "r2", "the longest prefix wins");
    require(p.match("a.example", "/other") == nullptr, "another path has no route");
    require(p.match("b.example", "/p/x") == nullptr, "nor has another host");
    require(p.find_route("none") == nullptr, "an unknown name has no route");
    require(p.find_route("r1")->semantics == config::execution_semantics::idempotent,
            "a stream that may be resumed may be repeated");
    require(p.find_route("r2")->semantics == config::execution_semantics::at_most_once &&
                p.find_route("r2")->services.size() == 2,
            "an unsafe route runs at most once, at weighted services");
    const config::job_rules& jobs = p.find_route("r3")->jobs;
    require(p.find_route("r3")->accepts_jobs && jobs.max_waiting_tokens == 1000 &&
                jobs.completion_target == seconds(18) && jobs.item_lifetime == seconds(60),
            "the rules of jobs are read");
    require(p.limits.sizes.max_body_bytes == 4194304 && p.limits.idle_timeout == seconds(15),
            "bounds on callers are read");
    for (const char* bad : {"", "[]", "{}", R"({"version":-1,"routes":[]})",
                            R"({"version":2,"routes":[{"name":"r"}]})",
                            R"({"version":2,"routes":[{"name":"r","host":"h","pathPrefix":"/",
                               "kind":"new","service":"s"}]})"}) {
        require(!decode_configuration(bad), std::string("is refused: ") + bad);
    }
}

const std::string entry = R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1",
"slots":8,"state":"ready","coldRemainingMs":0,"seq":4,"born":1771312557044})";

result<routing::fleet_target> decode(const std::string& value) {
    return decode_engine({"servers/i-7f", value, 3});
}

void check_entries() {
    const auto target = decode(entry);
    require(target && target.value().id == "i-7f" && target.value().slots == 8 &&
                target.value().started_at == 1771312557044 && !target.value().leaving,
            "an engine's entry names a target");
    std::string draining = entry;
    draining.replace(draining.find("ready"), 5, "draining");
    require(decode(draining).value().leaving, "a draining engine is leaving");
    property("no damaged entry crashes, and none without its fields names a target", [] {
        std::string damaged = entry;
        const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
        const auto length = *rc::gen::inRange<std::size_t>(1, 30);
        damaged.erase(at, length);
        (void)decode(damaged);
    });
    for (
        const char* bad :
        {"", "\xff\xfe", "7", "{}", R"({"service":5})",
         R"({"service":"s","address":"h:1","zone":"z","slots":8,"state":"ready","born":1})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":-8,"state":"ready","born":1})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":8,"state":"odd","born":1})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":8,"state":"ready"})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":8,"state":"ready","born":"1"})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":8,"state":"ready","born":1.5})"}) {
        require(!decode(bad), std::string("names no target: ") + bad);
    }
}

net::http_request message(const std::string& method, const std::string& target) {
    net::http_request out;
    out.method = method;
    out.target = target;
    for (const auto& [name, value] :
         std::vector<std::pair<const char*, const char*>>{{"Host", "a.example"},
                                                          {"Attempt-Id", "id1"},
                                                          {"Credential", "secret"},
                                                          {"Tenant", "forged"},
                                                          {"Deadline-Ms", "5000"},
                                                          {"Model", "m"},
                                                          {"Token-Counts", "10,20"},
                                                          {"Prompt-Prefix", "5c:800,91:410"},
                                                          {"Connection", "keep-alive, X-Hop"},
                                                          {"X-Hop", "1"},
                                                          {"Last-Event-Id", "4"}}) {
        out.headers.add(name, value);
    }
    return out;
}

void check_requests() {
    const serving::protocol_codec codec = make_caller_wire();
    const auto call = codec.decode(message("POST", "/p/x"));
    const auto& request = std::get<serving::caller_request>(call.value());
    require(request.id == "id1" && request.key == "secret" && request.time_left == seconds(5) &&
                request.resume_after == 4U && request.prompt.size() == 2 &&
                request.prompt[1].tokens == 410,
            "a request's fields are read");
    const net::http_request sent = codec.encode_call(
        request, {.target_id = "i-7f", .customer = "c", .time_left = milliseconds(1200)});
    require(sent.headers.find("Credential") == nullptr, "the key is not passed on");
    require(sent.headers.get("Tenant") == "c", "the customer is the key's, not the caller's word");
    require(sent.headers.get("Deadline-Ms") == "1200", "the target gets the time that is left");
    require(sent.headers.get("Expect-Instance") == "i-7f", "and the target that is meant");
    require(sent.headers.find("X-Hop") == nullptr && sent.headers.find("Connection") == nullptr,
            "fields of one connection are not passed on");
    require(sent.headers.get("Model") == "m" && sent.headers.get("Attempt-Id") == "id1",
            "others are");
    require(sent.headers.find("Last-Event-Id") == nullptr, "where to go on is the call's word");
    const net::http_request open = codec.encode_call(request, {.target_id = "i"});
    require(open.headers.find("Tenant") == nullptr, "a forged customer never gets through");
}

void check_job_calls() {
    const serving::protocol_codec codec = make_caller_wire();
    net::http_request read = message("GET", "/eelgrassdoor/lots/7c41?after=12");
    read.headers.set("Wait-Ms", "1000");
    const auto call = codec.decode(read);
    const auto& job = std::get<serving::job_read>(call.value());
    require(job.job == "7c41" && job.after == 12 && job.wait == seconds(1), "a read is read");
    const auto item = codec.decode(message("GET", "/eelgrassdoor/items/7c41?id=e5"));
    require(std::get<serving::item_read>(item.value()).item == "e5", "an item's read is read");
    const auto end = codec.decode(message("DELETE", "/eelgrassdoor/lots/7c41"));
    require(std::holds_alternative<serving::job_cancellation>(end.value()), "an end is read");
    const auto items = codec.decode_submission(
        R"({"items":[{"id":"e5","path":"/p/1","headers":{"Model":"m"},"body":"q83v","tokens":940}]})");
    require(items && items.value().size() == 1 && items.value()[0].body == "\xab\xcd\xef" &&
                items.value()[0].tokens == 940,
            "a submission is read");
    for (const char* bad : {"", "{}", R"({"items":5})", R"({"items":[{"id":5}]})"}) {
        require(!codec.decode_submission(bad), std::string("is refused: ") + bad);
    }
}

void check_answers() {
    const serving::protocol_codec codec = make_caller_wire();
    const auto status = [&](error_code code, run_state run) {
        return codec.encode_error({code, "why", run}).status;
    };
    require(status(error_code::overloaded, run_state::not_run) == 503, "not run is promised");
    require(status(error_code::overloaded, run_state::unknown) == 502,
            "but never for a request that may have run");
    require(status(error_code::rate_limited, run_state::not_run) == 429, "over the rate");
    require(status(error_code::unauthorized, run_state::not_run) == 401, "no key");
    const auto retry =
        codec.encode_error({error_code::overloaded, "why", run_state::not_run, milliseconds(250)});
    require(retry.headers.get("Retry-After") == "0.250", "when to come back, in seconds");
    net::http_response refusal;
    refusal.status = 503;
    require(!codec.decode_response(refusal).not_run, "a bare 503 of a target promises nothing");
    refusal.headers.set("Not-Executed", "1");
    require(codec.decode_response(refusal).not_run, "its own statement does");
    require(!codec.decode_response(refusal).target_draining,
            "a target stays unless it says otherwise");
    refusal.headers.set("Server-Leaving", "1");
    require(codec.decode_response(refusal).target_draining, "a target may say that it leaves");
}

} // namespace

int main() {
    check_settings();
    check_configuration();
    check_entries();
    check_requests();
    check_job_calls();
    check_answers();
    return eelgrassdoor::test::finish();
}
