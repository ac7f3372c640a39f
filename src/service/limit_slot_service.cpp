#include "service/limit_slot_service.hpp"

#include "base/text.hpp"
#include "peer/codec.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace eelgrassdoor::service {

namespace {

constexpr duration step_interval = milliseconds(100);
constexpr duration record_read_interval = seconds(5);
constexpr duration record_read_interval_incomplete = seconds(1);
constexpr duration host_list_max_age = seconds(3);
constexpr duration confirm_timeout = milliseconds(200);
constexpr std::string_view record_prefix = "/eelgrassdoor/limits/";

} // namespace

limit_slot_service::limit_slot_service(daemon_context& context,
                                       platform::config_repository& repository,
                                       member_service& members, document_service& documents)
    : m_context(context), m_repository(repository), m_members(members), m_documents(documents),
      m_record_key(str_cat(record_prefix, context.settings.availability_zone)) {
    m_context.transport.handle(
        peer::message_type::limit_request,
        [this](const peer::envelope& e, std::string_view) { return on_limit_request(e); });
    m_context.transport.handle(
        peer::message_type::limit_return,
        [this](const peer::envelope& e, std::string_view) { return on_limit_return(e); });
    m_context.transport.handle(
        peer::message_type::epoch_request,
        [this](const peer::envelope&, std::string_view) { return on_epoch_request(); });
}

void limit_slot_service::start() {
    m_ticker.start(step_interval, [this] { step(); });
}

void limit_slot_service::step() {
    const time_point now = m_context.clock();
    bool paused = false;
    std::uint64_t pauses = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        for (held_slot_state& state : m_held) {
            state.authority.tick(now);
            pauses += state.authority.pauses();
        }
        // The pause may already have been noticed by a request between two steps.
        paused = std::exchange(m_reported_pauses, pauses) != pauses;
        if (paused) {
            m_next_record_read = now;
        }
    }
    if (paused) {
        m_context.events.emit(observe::event::limit_authority_lapsed, {});
    }
    configure();
    maintain_slots();
}

void limit_slot_service::configure() {
    const config::document_ptr doc = m_context.configuration.get();
    const absl::MutexLock lock(&m_mutex);
    if (doc == nullptr || doc->head.version == m_configured_version) {
        return;
    }
    m_configured_version = doc->head.version;
    m_slot_count = limits::slot_count(doc->parsed.availability_zones.size());
    m_limits.clear();
    for (const auto& [name, c] : doc->parsed.customers) {
        m_limits[name] = {c.rate_per_second, c.burst};
    }
    const time_point now = m_context.clock();
    for (held_slot_state& state : m_held) {
        if (state.buckets != nullptr) {
            state.buckets->configure(m_limits, m_slot_count, now);
        }
    }
}

std::size_t limit_slot_service::claimed_slots_in_zone() const {
    return m_members.with_table([](const membership::member_table& table) {
        std::set<std::uint16_t> claimed;
        for (const membership::member_record* r : table.live_in(table.self().availability_zone)) {
            for (const membership::held_slot& s : r->slots) {
                claimed.insert(s.slot);
            }
        }
        return claimed.size();
    });
}

void limit_slot_service::maintain_slots() {
    const time_point now = m_context.clock();
    const std::size_t zone_slots = claimed_slots_in_zone();
    bool lapsed = false;
    bool has_unclaimed_slots = false;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_configured_version == 0 || now < m_next_record_read) {
            return;
        }
        lapsed = std::ranges::any_of(
            m_held, [](const held_slot_state& state) { return state.authority.lapsed(); });
        has_unclaimed_slots = zone_slots < limits::slots_per_zone;
        const bool any_held = std::ranges::any_of(
            m_held, [](const held_slot_state& state) { return state.authority.holds(); });
        m_next_record_read =
            now + (lapsed || has_unclaimed_slots || !any_held ? record_read_interval_incomplete
                                                              : record_read_interval);
        if (!lapsed && !has_unclaimed_slots && !any_held) {
            // Other daemons hold all slots: nothing to do until one of them stops responding.
            return;
        }
    }
    read_zone_record(now);
    if (lapsed) {
        confirm_with_peers(now);
    }
}

void limit_slot_service::read_zone_record(time_point query_sent_at) {
    const result<platform::kv_value> value = m_context.kv.get(m_record_key);
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
        const bool mine = record.slots[i].host == m_context.settings.host &&
                          record.slots[i].incarnation == m_context.incarnation;
        bool lost = false;
        {
            const absl::MutexLock lock(&m_mutex);
            m_known_epoch = std::max(m_known_epoch, record.epoch);
            lost = m_held[i].authority.holds() && !mine;
            if (mine && m_held[i].authority.holds()) {
                m_held[i].authority.confirm(record.epoch, query_sent_at);
            }
        }
        if (lost) {
            mark_slot_lost(i);
        }
    }
    try_claim(record, value.value().revision);
}

void limit_slot_service::try_claim(const limits::slot_record& record, std::int64_t revision) {
    const platform::host_list_ptr hosts = m_documents.hosts();
    if (!m_documents.host_list_fresh(host_list_max_age) ||
        m_members.with_table([](const auto& t) { return t.self().leaving; })) {
        return;
    }
    limits::claim_context context;
    context.host = m_context.settings.host;
    context.incarnation = m_context.incarnation;
    context.is_listed = [&hosts](std::string_view host) {
        return std::ranges::any_of(hosts->hosts, [host](const auto& h) { return h.host == host; });
    };
    context.is_recently_heard = [this](std::string_view host) {
        return m_members.with_table([host](const membership::member_table& table) {
            const membership::member* m = table.find(host);
            return m != nullptr && m->status == membership::member_status::live;
        });
    };
    context.holds = [this](std::size_t slot) {
        const absl::MutexLock lock(&m_mutex);
        return m_held[slot].authority.holds();
    };
    // Slots are assigned round-robin to the live daemons of the zone that can reach the platform.
    context.is_preferred = [this](std::size_t slot) {
        return m_members.with_table([this, slot](const membership::member_table& table) {
            auto live = table.live_in(m_context.settings.availability_zone);
            std::erase_if(live, [this](const membership::member_record* r) {
                return r->host != m_context.settings.host && !r->platform_reachable;
            });
            return !live.empty() && live[slot % live.size()]->host == m_context.settings.host;
        });
    };
    const std::optional<limits::slot_claim> claim = limits::find_claim(record, context);
    if (!claim) {
        return;
    }
    const limits::slot_record next =
        limits::apply_claim(record, *claim, m_context.settings.host, m_context.incarnation);
    const std::string text = limits::to_json(next);
    const auto is_own_write = [&next, &claim](std::string_view found) {
        const auto read = limits::slot_record_from_json(found);
        return read && read->slots[claim->slot] == next.slots[claim->slot];
    };
    const result<platform::swap_outcome> outcome =
        m_context.kv.compare_and_swap(m_record_key, revision, text, is_own_write);
    if (outcome && outcome.value() == platform::swap_outcome::written) {
        activate_slot(*claim, next.epoch);
    }
}

void limit_slot_service::activate_slot(const limits::slot_claim& claim, std::uint64_t epoch) {
    // Read after the claim: an earlier holder cannot have granted tokens of customers that are
    // newer than this configuration.
    const result<config::document_ptr> doc = m_repository.read(m_context.configuration.get());
    if (!doc || doc.value() == nullptr) {
        // Without the configuration the slot is not used; the next incarnation claims it again.
        return;
    }
    std::set<std::string, std::less<>> known_customers;
    for (const auto& [name, c] : doc.value()->parsed.customers) {
        known_customers.insert(name);
    }
    const time_point now = m_context.clock();
    {
        const absl::MutexLock lock(&m_mutex);
        held_slot_state& state = m_held[claim.slot];
        state.buckets = std::make_unique<limits::slot_buckets>(
            claim.reason == limits::claim_reason::never_held, std::move(known_customers));
        state.buckets->configure(m_limits, m_slot_count, now);
        state.authority.claim(claim.slot, epoch, now);
        m_known_epoch = std::max(m_known_epoch, epoch);
    }
    m_context.events.emit(observe::event::limit_part_claimed, {},
                          {{"slot", std::to_string(claim.slot)},
                           {"epoch", std::to_string(epoch)},
                           {"reason", std::to_string(static_cast<int>(claim.reason))}});
    publish_slots();
}

void limit_slot_service::release_all() {
    for (std::size_t i = 0; i < limits::slots_per_zone; ++i) {
        bool held = false;
        {
            const absl::MutexLock lock(&m_mutex);
            held = m_held[i].authority.holds();
        }
        if (held) {
            // Stop granting tokens before another daemon can claim the slot.
            mark_slot_lost(i);
            release(i);
        }
    }
}

void limit_slot_service::release(std::size_t slot) {
    const result<platform::kv_value> value = m_context.kv.get(m_record_key);
    const auto record = value ? limits::slot_record_from_json(value.value().value) : std::nullopt;
    const bool mine = record && record->slots[slot].host == m_context.settings.host &&
                      record->slots[slot].incarnation == m_context.incarnation;
    if (!mine) {
        return;
    }
    const std::string text = limits::to_json(limits::apply_release(*record, slot));
    // If the outcome is unknown and the slot was not released, it is taken over like that of a
    // failed host.
    (void)m_context.kv.compare_and_swap(m_record_key, value.value().revision, text,
                                        [&text](std::string_view found) { return found == text; });
}

void limit_slot_service::mark_slot_lost(std::size_t slot) {
    {
        const absl::MutexLock lock(&m_mutex);
        m_held[slot].authority.revoke();
        m_held[slot].buckets.reset();
    }
    m_context.events.emit(observe::event::limit_part_lost, {}, {{"slot", std::to_string(slot)}});
    publish_slots();
}

void limit_slot_service::publish_slots() {
    std::vector<membership::held_slot> slots;
    {
        const absl::MutexLock lock(&m_mutex);
        for (std::size_t i = 0; i < limits::slots_per_zone; ++i) {
            if (m_held[i].authority.holds()) {
                slots.push_back({static_cast<std::uint16_t>(i), m_held[i].authority.epoch()});
            }
        }
    }
    m_members.update_self([&slots](membership::member_record& self) { self.slots = slots; });
}

void limit_slot_service::confirm_with_peers(time_point query_sent_at) {
    // Used only while the key-value service is unreachable: then every live daemon of the zone must
    // answer that it knows no newer record.
    if (m_context.kv.reachable()) {
        return;
    }
    std::vector<peer::outgoing_call> calls;
    m_members.with_table([&calls](const membership::member_table& table) {
        for (const membership::member_record* r : table.live_in(table.self().availability_zone)) {
            if (r->host != table.self().host) {
                calls.push_back({r->peer_endpoint(), peer::message_type::epoch_request,
                                 peer::encode(peer::epoch_request{})});
            }
        }
        return 0;
    });
    std::size_t answers = 0;
    std::uint64_t newest = 0;
    m_context.transport.call_many(
        calls, confirm_timeout, [&](std::size_t, const std::string& body) {
            const auto answer = peer::decode<peer::epoch_response>(body);
            ++answers;
            newest = std::max(newest, answer ? answer->record_epoch : ~std::uint64_t{0});
            return false;
        });
    const absl::MutexLock lock(&m_mutex);
    for (held_slot_state& state : m_held) {
        if (state.authority.lapsed() && answers == calls.size() &&
            newest <= state.authority.epoch() && !calls.empty()) {
            state.authority.confirm(state.authority.epoch(), query_sent_at);
        }
    }
}

void limit_slot_service::handle_member_record(const membership::member_record& peer_record) {
    if (peer_record.availability_zone != m_context.settings.availability_zone ||
        peer_record.host == m_context.settings.host) {
        return;
    }
    for (const membership::held_slot& s : peer_record.slots) {
        if (s.slot >= limits::slots_per_zone) {
            continue;
        }
        bool lost = false;
        {
            const absl::MutexLock lock(&m_mutex);
            m_known_epoch = std::max(m_known_epoch, s.epoch);
            const limits::authority& authority = m_held[s.slot].authority;
            lost = authority.holds() && authority.epoch() < s.epoch;
        }
        if (lost) {
            mark_slot_lost(s.slot);
        }
    }
}

std::optional<std::string> limit_slot_service::on_epoch_request() const {
    const absl::MutexLock lock(&m_mutex);
    return peer::encode(peer::epoch_response{m_known_epoch});
}

peer::limit_response limit_slot_service::grant_tokens(const peer::limit_request& request) {
    if (request.slot >= limits::slots_per_zone || !(request.want > 0)) {
        return {};
    }
    const time_point now = m_context.clock();
    const absl::MutexLock lock(&m_mutex);
    held_slot_state& state = m_held[request.slot];
    if (state.buckets == nullptr || !state.authority.may_use(now)) {
        return {};
    }
    const limits::grant grant =
        state.buckets->acquire(request.customer, request.want, request.accept_partial, now);
    return {true, grant.id, grant.amount, grant.balance, grant.next_token_s};
}

std::optional<std::string> limit_slot_service::on_limit_request(const peer::envelope& e) {
    const auto request = peer::decode<peer::limit_request>(e.body);
    if (!request) {
        return std::nullopt;
    }
    return peer::encode(grant_tokens(*request));
}

std::optional<std::string> limit_slot_service::on_limit_return(const peer::envelope& e) {
    const auto loan_return = peer::decode<peer::limit_return>(e.body);
    if (loan_return) {
        accept_return(*loan_return);
    }
    return std::nullopt;
}

void limit_slot_service::accept_return(const peer::limit_return& loan_return) {
    if (loan_return.slot >= limits::slots_per_zone) {
        return;
    }
    const time_point now = m_context.clock();
    const absl::MutexLock lock(&m_mutex);
    held_slot_state& state = m_held[loan_return.slot];
    if (state.buckets != nullptr) {
        state.buckets->return_loan(loan_return.grant_id, loan_return.amount, now);
    }
}

} // namespace eelgrassdoor::service
