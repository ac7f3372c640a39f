#include "fleet/stream_version_exchange.hpp"

#include "net/endpoint.hpp"

#include <utility>

namespace eelgrassdoor::fleet {

void stream_version_exchange::update(const member_map& members, const is_heard_fn& is_heard) {
    std::vector<stream_holder> others;
    std::vector<stream_holder> job_hosts;
    for (const auto& [host, each] : members) {
        const result<net::tcp::endpoint> endpoint = net::parse_endpoint(each.endpoint);
        if (host == m_self.host || !each.keeps_stream_versions || !endpoint) {
            continue;
        }
        std::vector<stream_holder>& group = each.serves_callers ? others : job_hosts;
        group.push_back({.host = host,
                         .availability_zone = each.availability_zone,
                         .endpoint = {endpoint.value().address(), endpoint.value().port()},
                         .is_heard = is_heard(host)});
    }
    m_holders.set_daemons(std::move(others), m_self.availability_zone);
    m_holders.set_job_hosts(std::move(job_hosts));
}

void stream_version_exchange::record(std::string_view customer, std::string_view attempt_id,
                                     std::string_view version) {
    const std::uint64_t key = stream_key(customer, attempt_id);
    if (version.size() > max_version_bytes || m_versions.find(key)) {
        return;
    }
    m_versions.record(key, version);
    const std::string datagram =
        to_datagram(stream_record{.key = key, .version = std::string(version)});
    for (const stream_holder& each : m_holders.copies_of(key)) {
        m_send(datagram, each.endpoint);
    }
}

net::task<std::optional<std::string>> stream_version_exchange::find(std::string customer,
                                                                    std::string attempt_id) {
    const std::uint64_t key = stream_key(customer, attempt_id);
    std::optional<std::string> known = m_versions.find(key);
    if (known) {
        m_log.write(observe::event::stream_version_found, attempt_id,
                    {{"version", *known}, {"known_at", m_self.host}});
        co_return known;
    }
    const std::uint64_t number = m_next_number;
    lookup& pending =
        m_lookups.emplace(number, lookup{.key = key, .wake = net::notification(m_executor)})
            .first->second;
    for (stream_holder& each : m_holders.asked_for(key)) {
        pending.questions.push_back({.asked = std::move(each)});
    }
    // A lookup that asks nobody needs a number of its own, too.
    m_next_number += pending.questions.size() + 1;
    const time_point started_at = m_clock();
    ask(number, pending);
    co_await wait_for_answers(pending, started_at + repeat_delay);
    if (!pending.is_decided()) {
        ask(number, pending);
        co_await wait_for_answers(pending, started_at + lookup_timeout);
    }
    if (pending.version) {
        m_versions.record(key, *pending.version);
    }
    log_outcome(attempt_id, pending);
    std::optional<std::string> version = std::move(pending.version);
    m_lookups.erase(number);
    co_return version;
}

void stream_version_exchange::ask(std::uint64_t first_number, const lookup& pending) {
    std::uint64_t number = first_number;
    for (const question& each : pending.questions) {
        if (!each.is_answered) {
            m_send(to_datagram(stream_query{.number = number, .key = pending.key}),
                   each.asked.endpoint);
        }
        ++number;
    }
}

net::task<> stream_version_exchange::wait_for_answers(lookup& pending, time_point end) {
    while (!pending.is_decided() && m_clock() < end) {
        co_await pending.wake.wait_until(end);
    }
}

bool stream_version_exchange::receive(std::uint8_t kind, std::string_view body,
                                      const net::udp::endpoint& from) {
    switch (kind) {
    case stream_record::kind: {
        const auto record = peer::decode<stream_record>(body);
        if (record) {
            m_versions.record(record->key, record->version);
        }
        return record.has_value();
    }
    case stream_query::kind: {
        const auto query = peer::decode<stream_query>(body);
        if (query) {
            const std::optional<std::string> version = m_versions.find(query->key);
            m_send(to_datagram(stream_answer{.number = query->number,
                                             .is_known = version.has_value(),
                                             .version = version.value_or("")}),
                   from);
        }
        return query.has_value();
    }
    case stream_answer::kind: {
        const auto answer = peer::decode<stream_answer>(body);
        if (answer) {
            receive_answer(*answer);
        }
        return answer.has_value();
    }
    default:
        return false;
    }
}

void stream_version_exchange::receive_answer(const stream_answer& answer) {
    auto found = m_lookups.upper_bound(answer.number);
    if (found == m_lookups.begin()) {
        return;
    }
    --found;
    lookup& pending = found->second;
    const std::uint64_t index = answer.number - found->first;
    if (index >= pending.questions.size() || pending.questions[index].is_answered) {
        return;
    }
    question& asked = pending.questions[index];
    asked.is_answered = true;
    ++pending.answers;
    if (answer.is_known && !pending.version) {
        pending.version = answer.version;
        pending.found_at = asked.asked.host;
    }
    pending.wake.notify();
}

void stream_version_exchange::log_outcome(std::string_view attempt_id, const lookup& done) {
    const std::string asked = std::to_string(done.questions.size());
    const std::string answered = std::to_string(done.answers);
    if (done.version) {
        m_log.write(observe::event::stream_version_found, attempt_id,
                    {{"version", *done.version},
                     {"known_at", done.found_at},
                     {"asked", asked},
                     {"answered", answered}});
    } else {
        m_log.write(observe::event::stream_version_unknown, attempt_id,
                    {{"asked", asked}, {"answered", answered}});
    }
}

} // namespace eelgrassdoor::fleet
