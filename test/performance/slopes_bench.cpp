/// \file
/// Microbenchmarks of the decision modules at growing sizes, with the fitted slope of each: time
/// is fixed + slope * size by least squares.
#include "base/digest.hpp"
#include "base/random_source.hpp"
#include "batch/job_progress.hpp"
#include "batch/job_record.hpp"
#include "config/current_configuration.hpp"
#include "limits/holder_view.hpp"
#include "limits/slot_buckets.hpp"
#include "membership/member_table.hpp"
#include "peer/codec.hpp"
#include "peer/envelope.hpp"
#include "routing/fair_queue.hpp"
#include "routing/target_view.hpp"

#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;

/// One measured point.
struct point {
    double size;
    double value;
};

/// Microseconds that one call of \p work takes, over at least 50 ms.
double time_us(const std::function<void()>& work) {
    work();
    const auto begin = std::chrono::steady_clock::now();
    int calls = 0;
    double spent = 0;
    while (spent < 0.05) {
        work();
        ++calls;
        spent = to_seconds(std::chrono::steady_clock::now() - begin);
    }
    return spent / calls * 1e6;
}

void print_fit(const char* name, const char* unit, const std::vector<point>& points) {
    double n = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const point& p : points) {
        n += 1;
        sx += p.size;
        sy += p.value;
        sxx += p.size * p.size;
        sxy += p.size * p.value;
    }
    const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const double fixed = (sy - slope * sx) / n;
    std::printf("%-44s", name);
    for (const point& p : points) {
        std::printf("  %g: %.2f", p.size, p.value);
    }
    std::printf("  | fixed %.3f + %.6f each (%s)\n", fixed, slope, unit);
}

void bench_limit_decision() {
    std::vector<point> grant;
    std::vector<point> plan;
    for (const int customers : {8, 55, 220}) {
        limits::part_table table(true, {});
        limits::customer_limits limits;
        for (int i = 0; i < customers; ++i) {
            limits["customer-" + std::to_string(i)] = {1e9, 1e9};
        }
        manual_clock clock;
        table.configure(limits, 20, clock.now());
        grant.push_back({static_cast<double>(customers), time_us([&] {
                             clock.advance(std::chrono::microseconds(1));
                             table.ask("customer-3", 1, false, clock.now());
                         })});
    }
    for (const int holders : {8, 20}) {
        limits::holder_view view;
        std::vector<limits::holder> list;
        for (int i = 0; i < holders; ++i) {
            list.push_back({"host-" + std::to_string(i), 0, "127.0.0.1:1", i < 2});
        }
        view.set_holders(list);
        manual_clock clock;
        for (const limits::holder& h : list) {
            view.note_balance(h, "c", 1, clock.now());
        }
        plan.push_back({static_cast<double>(holders), time_us([&] {
                            view.plan("c", {5, 2.5}, clock.now());
                        })});
    }
    print_fit("limit grant by customers", "us", grant);
    print_fit("limit plan by holders", "us", plan);
}

void bench_routing_pick() {
    std::vector<point> points;
    for (const int count : {10, 100, 870}) {
        routing::target_view view("z0");
        std::vector<routing::target_info> targets;
        for (int i = 0; i < count; ++i) {
            targets.push_back({"engine-" + std::to_string(i),
                               "127.0.0.1:1",
                               "z" + std::to_string(i % 10),
                               false,
                               {"m" + std::to_string(i % 18)}});
        }
        view.set_targets(targets);
        manual_clock clock;
        random_source random(1);
        for (const auto& t : targets) {
            view.note_report(t.name, {3, 0, 64, 0, clock.now()});
        }
        const routing::pick_request request{"m0", 7, {}, false};
        points.push_back({static_cast<double>(count),
                          time_us([&] { view.pick(request, clock.now(), random); })});
    }
    print_fit("routing pick by targets", "us", points);
}

void bench_fair_queue() {
    std::vector<point> points;
    for (const int customers : {8, 55, 220}) {
        routing::fair_queue queue({.max_per_customer = 64, .max_total = 100'000});
        std::uint64_t id = 0;
        for (int i = 0; i < customers * 2; ++i) {
            queue.push(++id, std::to_string(i % customers), 1, time_point::max());
        }
        points.push_back({static_cast<double>(customers), time_us([&] {
                              ++id;
                              queue.push(id, std::to_string(id % customers), 1, time_point::max());
                              queue.pop();
                          })});
    }
    print_fit("fair queue push and pop by customers", "us", points);
}

membership::member_record member_of(int i) {
    membership::member_record r;
    r.host = "entry-host-" + std::to_string(i);
    r.availability_zone = "zone-" + std::to_string(i % 10);
    r.address = "127.0.0.1";
    r.peer_port = 7000;
    r.incarnation = 1;
    r.heartbeat = 1;
    return r;
}

void bench_gossip() {
    std::vector<point> round;
    std::vector<point> receive;
    for (const int members : {8, 64, 420}) {
        membership::member_table table(member_of(0), {});
        for (int i = 1; i < members; ++i) {
            table.merge(member_of(i), time_point{});
        }
        table.update(time_point{});
        random_source random(1);
        peer::sealer seal("a secret of enough length", "a", 1);
        peer::sealer open("a secret of enough length", "b", 1);
        std::string frame;
        const auto pack = [&] {
            peer::gossip message;
            message.members = table.gossip_records(4, time_point{}, random);
            message.heartbeats = table.gossip_heartbeats(48, 16, random);
            frame = seal.seal({.body = peer::encode(message)});
        };
        round.push_back({static_cast<double>(members), time_us(pack)});
        std::uint64_t beat = 1;
        receive.push_back({static_cast<double>(members), time_us([&] {
                               pack();
                               const auto opened = open.open(frame);
                               const auto& e = std::get<peer::envelope>(opened);
                               auto heard = peer::decode<peer::gossip>(e.body);
                               ++beat;
                               for (auto& m : heard->members) {
                                   m.heartbeat = beat;
                                   table.merge(m, time_point{});
                               }
                               for (const auto& h : heard->heartbeats) {
                                   table.merge_heartbeat(h, time_point{});
                               }
                               table.update(time_point{});
                           })});
        if (members == 420) {
            std::printf("gossip datagram at 420 daemons: %zu bytes\n", frame.size());
        }
    }
    print_fit("gossip message made by members", "us", round);
    print_fit("gossip message made and taken in by members", "us", receive);
}

void print_frame_sizes() {
    peer::sealer seal("a secret of enough length", "entry-host-123", 1);
    const auto size = [&seal](const std::string& body) { return seal.seal({.body = body}).size(); };
    std::printf(
        "frames: limit ask %zu, answer %zu, return %zu, online load %zu, lane ask %zu bytes\n",
        size(peer::encode(peer::limit_ask{"customer-123", 1, 1, true})),
        size(peer::encode(peer::limit_answer{})), size(peer::encode(peer::limit_return{})),
        size(peer::encode(peer::online_load{"engine-123", 3})),
        size(peer::encode(peer::lane_ask{"engine-123", 1, 2, 3})));
}

void bench_configuration() {
    std::vector<point> points;
    for (const int customers : {8, 55, 220}) {
        std::string sheet = "record,name,rate_per_second,burst,weight,kind,model,access,"
                            "idempotent,timeout_ms,batch_reserve_percent\n"
                            "availability_zone,z1,,,,,,,,,\n";
        for (int i = 0; i < customers; ++i) {
            sheet += "customer,c" + std::to_string(i) + ",10,20,1,,,,,,\n";
        }
        for (int i = 0; i < 18; ++i) {
            sheet += "model,m" + std::to_string(i) + ",,,,,,,,,10\n";
            sheet += "route,r" + std::to_string(i) + ",,,,model,m" + std::to_string(i) +
                     ",keyed,yes,1000,\n";
        }
        config::key_set keys;
        for (int i = 0; i < customers * 4; ++i) {
            keys.add(config::make_key("c" + std::to_string(i % customers)).record);
        }
        const std::string keys_text = config::keys_to_json(keys);
        config::head_record head;
        head.version = 1;
        head.sheet_digest = sha256_hex(sheet);
        head.keys_digest = sha256_hex(keys_text);
        const config::document_ptr doc = config::build_document(head, sheet, keys_text);
        const std::string text = config::encode_document(*doc);
        points.push_back(
            {static_cast<double>(customers), time_us([&] { config::decode_document(text); })});
        std::printf("configuration with %d customers, 18 models, 4 keys each: %zu bytes\n",
                    customers, text.size());
    }
    print_fit("configuration read by customers", "us", points);
}

void bench_job() {
    std::vector<point> commit;
    std::vector<point> record_bytes;
    std::vector<point> restore;
    for (const int items : {1'000, 10'000, 100'000}) {
        auto progress = std::make_unique<batch::job_progress>(items);
        for (int i = 0; i < items; ++i) {
            progress->next();
            progress->add_result({static_cast<std::uint64_t>(i), false, false, "x"});
            if (progress->uncommitted().size() == 512) {
                progress->note_committed(512);
            }
        }
        batch::job_record record;
        record.job = "job-0123456789abcdef0123456789abcdef";
        record.customer = "customer-12";
        record.body_digest = std::string(64, 'a');
        record.storage = "s-0123456789abcdef01234567";
        record.copies = {"entry-host-1", "entry-host-2"};
        record.item_count = record.done = static_cast<std::uint64_t>(items);
        record.segments = {{1, 1'000'000}, {2, 2'000'000}};
        record_bytes.push_back(
            {static_cast<double>(items), static_cast<double>(batch::to_json(record).size())});
        commit.push_back({static_cast<double>(items),
                          time_us([&] { batch::job_record_from_json(batch::to_json(record)); })});
        restore.push_back({static_cast<double>(items), time_us([&] {
                               batch::job_progress p(items);
                               for (int i = 0; i < items; ++i) {
                                   p.restore({static_cast<std::uint64_t>(i), false, false, {}});
                               }
                           })});
        std::printf("job of %d items: done items kept in %zu range(s)\n", items,
                    progress->ranges());
    }
    print_fit("job record written and read by items", "us", commit);
    print_fit("job record size by items", "bytes", record_bytes);
    print_fit("job progress restored by items", "us", restore);
}

} // namespace

int main() {
    bench_limit_decision();
    bench_routing_pick();
    bench_fair_queue();
    bench_gossip();
    print_frame_sizes();
    bench_configuration();
    bench_job();
    return 0;
}
