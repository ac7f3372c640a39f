#include "base/text.hpp"
#include "peer/codec.hpp"
#include "service/limit_slot_service.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace eelgrassdoor::service {

namespace {

constexpr duration step_interval = milliseconds(100);
constexpr duration record_read_interval = seconds(5);
constexpr duration record_read_interval_unsettled = seconds(1);
constexpr duration host_list_max_age = seconds(3);
constexpr duration confirm_timeout = milliseconds(200);
constexpr std::string_view record_prefix = "/eelgrassdoor/limits/";

} // namespace

slot_service::slot_service(runtime& shared, platform::config_repository& repository,
                           member_service& members, document_service& documents)
    : m_shared(shared), m_repository(repository), m_members(members), m_documents(documents),
      m_record_key(str_cat(record_prefix, shared.settings.availability_zone)) {
    m_shared.node.handle(peer::message_type::limit_ask,
                         [this](const peer::envelope& e, std::string_view) { return on_ask(e); });
    m_shared.node.handle(
        peer::message_type::limit_return,
        [this](const peer::envelope& e, std::string_view) { return on_return(e); });
    m_shared.node.handle(peer::message_type::confirm,
                         [this](const peer::envelope&, std::string_view) { return on_confirm(); });
}

void slot_service::start() {
    m_ticker.start(step_interval, [this] { step(); });
}

void slot_service::step() {
    const time_point now = m_shared.clock();
    bool paused = false;
    std::uint64_t pauses = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        for (held_part& part : m_held) {
            part.right.tick(now);
            pauses += part.right.pauses();
        }
        // An ask may have noticed the pause before this step.
        paused = std::exchange(m_noted_pauses, pauses) != pauses;
        if (paused) {
            m_next_record_read = now;
        }
    }
    if (paused) {
        m_shared.events.emit(observe::event::limit_authority_lapsed, {});
    }
    configure();
    maintain_slots();
}

void slot_service::configure() {
    const config::document_ptr doc = m_shared.configuration.get();
    const absl::MutexLock lock(&m_mutex);
    if (doc == nullptr || doc->head.version == m_configured_version) {
        return;
    }
    m_configured_version = doc->head.version;
    m_part_count = limits::part_count(doc->parsed.availability_zones.size());
    m_limits.clear();
    for (const auto& [name, c] : doc->parsed.customers) {
        m_limits[name] = {c.rate_per_second, c.burst};
    }
    const time_point now = m_shared.clock();
    for (held_part& part : m_held) {
        if (part.table != nullptr) {
            part.table->configure(m_limits, m_part_count, now);
        }
    }
}

std::size_t slot_service::slots_heard_in_zone() const {
    return m_members.with_table([](const membership::member_table& table) {
        std::set<std::uint16_t> heard;
        for (const membership::member_record* r : table.live_in(table.self().availability_zone)) {
            for (const membership::held_slot& s : r->slots) {
                heard.insert(s.slot);
            }
        }
        return heard.size();
    });
}

void slot_service::maintain_slots() {
    const time_point now = m_shared.clock();
    const std::size_t zone_slots = slots_heard_in_zone();
    bool lapsed = false;
    bool unsettled = false;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_configured_version == 0 || now < m_next_record_read) {
            return;
        }
        lapsed = std::ranges::any_of(m_held, [](const held_part& p) { return p.right.lapsed(); });
        unsettled = zone_slots < limits::slots_per_zone;
        const bool any_held =
            std::ranges::any_of(m_held, [](const held_part& p) { return p.right.holds(); });
        m_next_record_read =
            now + (lapsed || unsettled || !any_held ? record_read_interval_unsettled
                                                    : record_read_interval);
        if (!lapsed && !unsettled && !any_held) {
            // Others hold both slots: nothing to do here until one of them falls silent.
            return;
        }
    }
    read_zone_record(now);
    if (lapsed) {
        confirm_with_peers(now);
    }
}

void slot_service::read_zone_record(time_point asked_at) {
    const result<platform::kv_value> value = m_shared.kv.get(m_record_key);
    if (!value) {
        return;
    }
    limits::slot_record record;
    if (value.value().revision != 0) {
        const auto read = limits::slot_record_from_json(value.value().value);
        if (!read) {
            return;
        }
        record = *read;
    }
    for (std::size_t i = 0; i < limits::slots_per_zone; ++i) {
        const bool mine = record.slots[i].host == m_shared.settings.host &&
                          record.slots[i].incarnation == m_shared.incarnation;
        bool lost = false;
        {
            const absl::MutexLock lock(&m_mutex);
            m_known_epoch = std::max(m_known_epoch, record.epoch);
            lost = m_held[i].right.holds() && !mine;
            if (mine && m_held[i].right.holds()) {
                m_held[i].right.confirm(record.epoch, asked_at);
            }
        }
        if (lost) {
            lose(i);
        }
    }
    try_claim(record, value.value().revision);
}

void slot_service::try_claim(const limits::slot_record& record, std::int64_t revision) {
    const platform::host_list_ptr hosts = m_documents.hosts();
    if (!m_documents.host_list_fresh(host_list_max_age) ||
        m_members.with_table([](const auto& t) { return t.self().leaving; })) {
        return;
    }
    limits::claim_situation now;
    now.host = m_shared.settings.host;
    now.incarnation = m_shared.incarnation;
    now.is_listed = [&hosts](std::string_view host) {
        return std::ranges::any_of(hosts->hosts, [host](const auto& h) { return h.host == host; });
    };
    now.is_heard = [this](std::string_view host) {
        return m_members.with_table([host](const membership::member_table& table) {
            const membership::member* m = table.find(host);
            return m != nullptr && m->status == membership::member_status::live;
        });
    };
    now.holds = [this](std::size_t slot) {
        const absl::MutexLock lock(&m_mutex);
        return m_held[slot].right.holds();
    };
    // The live daemons of the zone that reach the platform take slots in turn.
    now.is_preferred = [this](std::size_t slot) {
        return m_members.with_table([this, slot](const membership::member_table& table) {
            auto live = table.live_in(m_shared.settings.availability_zone);
            std::erase_if(live, [this](const membership::member_record* r) {
                return r->host != m_shared.settings.host && !r->platform_reachable;
            });
            return !live.empty() && live[slot % live.size()]->host == m_shared.settings.host;
        });
    };
    const std::optional<limits::slot_claim> claim = limits::find_claim(record, now);
    if (!claim) {
        return;
    }
    const limits::slot_record next =
        limits::apply_claim(record, *claim, m_shared.settings.host, m_shared.incarnation);
    const std::string text = limits::to_json(next);
    const auto ours = [&next, &claim](std::string_view found) {
        const auto read = limits::slot_record_from_json(found);
        return read && read->slots[claim->slot] == next.slots[claim->slot];
    };
    const result<platform::swap_outcome> outcome =
        m_shared.kv.swap(m_record_key, revision, text, ours);
    if (outcome && outcome.value() == platform::swap_outcome::written) {
        begin_to_hold(*claim, next.epoch);
    }
}

void slot_service::begin_to_hold(const limits::slot_claim& claim, std::uint64_t epoch) {
    // Read after the claim: an earlier holder cannot have used a customer that is newer than this.
    const result<config::document_ptr> doc = m_repository.read(m_shared.configuration.get());
    if (!doc || doc.value() == nullptr) {
        // Without this knowledge the slot is not used; the next incarnation claims it again.
        return;
    }
    std::set<std::string, std::less<>> known;
    for (const auto& [name, c] : doc.value()->parsed.customers) {
        known.insert(name);
    }
    const time_point now = m_shared.clock();
    {
        const absl::MutexLock lock(&m_mutex);
        held_part& part = m_held[claim.slot];
        part.table = std::make_unique<limits::part_table>(
            claim.reason == limits::claim_reason::never_held, std::move(known));
        part.table->configure(m_limits, m_part_count, now);
        part.right.claim(claim.slot, epoch, now);
        m_known_epoch = std::max(m_known_epoch, epoch);
    }
    m_shared.events.emit(observe::event::limit_part_claimed, {},
                         {{"slot", std::to_string(claim.slot)},
                          {"epoch", std::to_string(epoch)},
                          {"reason", std::to_string(static_cast<int>(claim.reason))}});
    publish_slots();
}

void slot_service::release_all() {
    for (std::size_t i = 0; i < limits::slots_per_zone; ++i) {
        bool held = false;
        {
            const absl::MutexLock lock(&m_mutex);
            held = m_held[i].right.holds();
        }
        if (held) {
            // Nothing is granted from here on, so that the slot may be given away.
            lose(i);
            release(i);
        }
    }
}

void slot_service::release(std::size_t slot) {
    const result<platform::kv_value> value = m_shared.kv.get(m_record_key);
    const auto record = value ? limits::slot_record_from_json(value.value().value) : std::nullopt;
    const bool mine = record && record->slots[slot].host == m_shared.settings.host &&
                      record->slots[slot].incarnation == m_shared.incarnation;
    if (!mine) {
        return;
    }
    const std::string text = limits::to_json(limits::apply_release(*record, slot));
    // An unclear outcome is settled by the next claim: the slot is then taken over like a lost one.
    (void)m_shared.kv.swap(m_record_key, value.value().revision, text,
                           [&text](std::string_view found) { return found == text; });
}

void slot_service::lose(std::size_t slot) {
    {
        const absl::MutexLock lock(&m_mutex);
        m_held[slot].right.lose();
        m_held[slot].table.reset();
    }
    m_shared.events.emit(observe::event::limit_part_lost, {}, {{"slot", std::to_string(slot)}});
    publish_slots();
}

void slot_service::publish_slots() {
    std::vector<membership::held_slot> slots;
    {
        const absl::MutexLock lock(&m_mutex);
        for (std::size_t i = 0; i < limits::slots_per_zone; ++i) {
            if (m_held[i].right.holds()) {
                slots.push_back({static_cast<std::uint16_t>(i), m_held[i].right.epoch()});
            }
        }
    }
    m_members.update_self([&slots](membership::member_record& self) { self.slots = slots; });
}

void slot_service::confirm_with_peers(time_point asked_at) {
    // Only where the key-value service cannot be asked: then every live daemon of the zone must
    // know of no newer record.
    if (m_shared.kv.reachable()) {
        return;
    }
    std::vector<peer::outgoing_call> calls;
    m_members.with_table([&calls](const membership::member_table& table) {
        for (const membership::member_record* r : table.live_in(table.self().availability_zone)) {
            if (r->host != table.self().host) {
                calls.push_back({r->peer_endpoint(), peer::message_type::confirm,
                                 peer::encode(peer::confirm_ask{})});
            }
        }
        return 0;
    });
    std::size_t answers = 0;
    std::uint64_t newest = 0;
    m_shared.node.call_many(calls, confirm_timeout, [&](std::size_t, const std::string& body) {
        const auto answer = peer::decode<peer::confirm_answer>(body);
        ++answers;
        newest = std::max(newest, answer ? answer->record_epoch : ~std::uint64_t{0});
        return false;
    });
    const absl::MutexLock lock(&m_mutex);
    for (held_part& part : m_held) {
        if (part.right.lapsed() && answers == calls.size() && newest <= part.right.epoch() &&
            !calls.empty()) {
            part.right.confirm(part.right.epoch(), asked_at);
        }
    }
}

void slot_service::note_member(const membership::member_record& heard) {
    if (heard.availability_zone != m_shared.settings.availability_zone ||
        heard.host == m_shared.settings.host) {
        return;
    }
    for (const membership::held_slot& s : heard.slots) {
        if (s.slot >= limits::slots_per_zone) {
            continue;
        }
        bool lost = false;
        {
            const absl::MutexLock lock(&m_mutex);
            m_known_epoch = std::max(m_known_epoch, s.epoch);
            const limits::authority& right = m_held[s.slot].right;
            lost = right.holds() && right.epoch() < s.epoch;
        }
        if (lost) {
            lose(s.slot);
        }
    }
}

std::optional<std::string> slot_service::on_confirm() const {
    const absl::MutexLock lock(&m_mutex);
    return peer::encode(peer::confirm_answer{m_known_epoch});
}

peer::limit_answer slot_service::answer(const peer::limit_ask& ask) {
    if (ask.slot >= limits::slots_per_zone || !(ask.want > 0)) {
        return {};
    }
    const time_point now = m_shared.clock();
    const absl::MutexLock lock(&m_mutex);
    held_part& part = m_held[ask.slot];
    if (part.table == nullptr || !part.right.may_use(now)) {
        return {};
    }
    const limits::grant given = part.table->ask(ask.customer, ask.want, ask.fraction_helps, now);
    return {true, given.id, given.amount, given.balance, given.next_token_s};
}

std::optional<std::string> slot_service::on_ask(const peer::envelope& e) {
    const auto ask = peer::decode<peer::limit_ask>(e.body);
    if (!ask) {
        return std::nullopt;
    }
    return peer::encode(answer(*ask));
}

std::optional<std::string> slot_service::on_return(const peer::envelope& e) {
    const auto back = peer::decode<peer::limit_return>(e.body);
    if (back) {
        take_back(*back);
    }
    return std::nullopt;
}

void slot_service::take_back(const peer::limit_return& back) {
    if (back.slot >= limits::slots_per_zone) {
        return;
    }
    const time_point now = m_shared.clock();
    const absl::MutexLock lock(&m_mutex);
    held_part& part = m_held[back.slot];
    if (part.table != nullptr) {
        part.table->give_back(back.grant_id, back.amount, now);
    }
}

} // namespace eelgrassdoor::service
