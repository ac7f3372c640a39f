#include "soak/first_tries.hpp"

#include "base/text.hpp"
#include "check.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>

namespace eelgrassdoor::test {

namespace {

/// Time from which on a host that is cut off must serve.
constexpr duration contact_time = seconds(3);
/// Fewer tries tell nothing about one host.
constexpr int min_tries = 4;

constexpr std::array kind_names{"stream", "plain",          "repeated",
                                "once",   "job acceptance", "job read"};
constexpr std::array mode_names{"hang", "reset", "refuse", "silence"};

std::string name_of(request_kind kind) {
    return kind_names[static_cast<std::size_t>(kind)];
}

std::string name_of(cut_mode mode) {
    return mode_names[static_cast<std::size_t>(mode)];
}

struct tally {
    int tries = 0;
    int served = 0;

    void add(const first_try& one) {
        ++tries;
        served += one.served ? 1 : 0;
    }
    [[nodiscard]] int failed() const { return tries - served; }
    [[nodiscard]] std::string text() const { return str_cat(served, " of ", tries); }
};

/// Tries at hosts that were cut off, and at the others at these times.
struct comparison {
    tally cut;
    tally others;
    /// At all hosts while none was cut off, for information.
    tally outside;

    /// Whether two thirds as many were served at the cut hosts, or at most 10 + 1 in 50 of all
    /// tries failed there.
    [[nodiscard]] bool is_sound() const {
        return 3 * cut.served * others.tries >= 2 * others.served * cut.tries ||
               50 * (cut.failed() - 10) <= cut.tries + others.tries;
    }
};

} // namespace

void first_tries::check_cuts(const std::vector<cut_window>& cuts) const {
    if (cuts.empty()) {
        return;
    }
    std::map<std::string, comparison> groups;
    for (const first_try& one : m_tries) {
        if (!one.in_touch || one.kind > request_kind::once) {
            continue;
        }
        const std::string kind = name_of(one.kind);
        const auto window = std::find_if(cuts.begin(), cuts.end(), [&](const cut_window& each) {
            return each.begins_at <= one.sent_at && one.sent_at < each.ends_at;
        });
        if (window == cuts.end()) {
            groups["all"].outside.add(one);
            groups[kind].outside.add(one);
            continue;
        }
        if (one.sent_at < window->begins_at + contact_time) {
            continue;
        }
        const auto& hosts = window->hosts;
        const bool is_cut = std::find(hosts.begin(), hosts.end(), one.host) != hosts.end();
        for (const std::string& name :
             {std::string("all"), kind, str_cat(name_of(window->mode), ", ", kind)}) {
            (is_cut ? groups[name].cut : groups[name].others).add(one);
        }
        for (const daemon_process* host : hosts) {
            comparison& group = groups[str_cat(host->spec().host, ", ", kind)];
            if (!is_cut) {
                group.others.add(one);
            } else if (host == one.host) {
                group.cut.add(one);
            }
        }
    }
    for (const auto& [name, each] : groups) {
        const bool is_host = name.starts_with("entry-");
        if (!is_host || !each.is_sound()) {
            std::printf("cut off (%s): %s first tries served, %s at the others, %s without a cut\n",
                        name.c_str(), each.cut.text().c_str(), each.others.text().c_str(),
                        each.outside.text().c_str());
        }
        require(each.is_sound(), str_cat("hosts without engines serve (", name, ")"));
    }
}

void first_tries::check_recovery(time_point fault, time_point since) const {
    struct share {
        tally before;
        tally after;
    };
    std::map<std::string, share> groups;
    for (const first_try& one : m_tries) {
        const std::string kind = name_of(one.kind);
        for (const std::string& name : {kind, str_cat(one.host->spec().host, ", ", kind)}) {
            if (one.sent_at < fault) {
                groups[name].before.add(one);
            } else if (one.sent_at >= since) {
                groups[name].after.add(one);
            }
        }
    }
    std::string worst = "none";
    tally least{1, 1};
    for (const auto& [name, each] : groups) {
        if (!name.starts_with("entry-")) {
            std::printf("after the final fault (%s): %s first tries served, %s before\n",
                        name.c_str(), each.after.text().c_str(), each.before.text().c_str());
        } else if (each.after.tries < min_tries) {
            continue;
        } else if (each.after.served * least.tries < least.served * each.after.tries) {
            worst = name;
            least = each.after;
        }
        require(4 * each.after.served >= each.after.tries,
                str_cat("first tries are served after the final fault (", name,
                        "): ", each.after.text()));
    }
    std::printf("worst after the final fault: %s, %s\n", worst.c_str(), least.text().c_str());
}

} // namespace eelgrassdoor::test
