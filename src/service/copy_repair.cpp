#include "service/copy_repair.hpp"

#include "base/digest.hpp"
#include "service/job_intake.hpp"

#include <algorithm>

namespace eelgrassdoor::service {

namespace {

constexpr duration host_list_max_age = seconds(5);

} // namespace

bool copy_repair::is_lost(const std::string& host, const verified_incarnations& verified) const {
    return m_members.with_table([&](const membership::member_table& table) {
        const membership::member* m = table.find(host);
        if (m == nullptr || m->status == membership::member_status::gone) {
            return m_documents.host_list_fresh(host_list_max_age) && !table.is_listed(host);
        }
        // After a restart the host may have lost its disk.
        const auto last_verified = verified.find(host);
        return m->status == membership::member_status::live &&
               (last_verified == verified.end() || last_verified->second != m->record.incarnation);
    });
}

std::uint64_t copy_repair::live_incarnation(const std::string& host) const {
    return m_members.with_table([&host](const membership::member_table& table) {
        const membership::member* m = table.find(host);
        const bool live = m != nullptr && m->status == membership::member_status::live;
        return live ? m->record.incarnation : std::uint64_t{0};
    });
}

repair_outcome copy_repair::repair(stored_job& found, verified_incarnations& verified) {
    const batch::job_record record = found.record;
    for (const std::string& host : record.copies) {
        if (host == m_context.settings.host || !is_lost(host, verified)) {
            continue;
        }
        const std::uint64_t incarnation = live_incarnation(host);
        if (incarnation == 0) {
            return replace(found, host);
        }
        const bool present =
            m_copies.read(host, record.storage, job_file, 0, max_job_id_bytes).has_value();
        if (!present && !copy_files(record, host)) {
            return repair_outcome::missing;
        }
        verified[host] = incarnation;
    }
    return repair_outcome::intact;
}

repair_outcome copy_repair::replace(stored_job& found, const std::string& lost) {
    const batch::job_record record = found.record;
    const std::string replacement = choose_replacement(record);
    if (replacement.empty() || !copy_files(record, replacement)) {
        return repair_outcome::missing;
    }
    batch::job_record next = record;
    std::ranges::replace(next.copies, lost, replacement);
    const auto outcome = m_jobs.save(found, next);
    if (!outcome || outcome.value() != platform::swap_outcome::written) {
        return repair_outcome::missing;
    }
    m_context.events.emit(observe::event::copy_repaired, record.job,
                          {{"from", lost}, {"to", replacement}});
    return repair_outcome::replaced;
}

bool copy_repair::copy_files(const batch::job_record& record, const std::string& to) {
    const std::string& self = m_context.settings.host;
    if (!m_copies.copy(self, to, record.storage, items_file, record.item_bytes)) {
        return false;
    }
    for (const batch::committed_segment& segment : record.segments) {
        if (!m_copies.copy(self, to, record.storage, batch::segment_file(segment.epoch),
                           segment.bytes)) {
            return false;
        }
    }
    return m_copies.write(to, record.storage, job_file, 0, record.job, true).has_value();
}

std::string copy_repair::choose_replacement(const batch::job_record& record) const {
    const std::uint64_t key = stable_hash(record.storage);
    return m_members.with_table([&](const membership::member_table& table) {
        const membership::member_record* best = nullptr;
        for (const membership::member_record* r : table.live()) {
            const bool eligible =
                r->has_spool && std::ranges::find(record.copies, r->host) == record.copies.end() &&
                r->availability_zone != table.self().availability_zone;
            if (eligible && (best == nullptr || rendezvous_weight(key, r->host) >
                                                    rendezvous_weight(key, best->host))) {
                best = r;
            }
        }
        return best == nullptr ? std::string() : best->host;
    });
}

} // namespace eelgrassdoor::service
