#include "limits/slot_record.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassdoor::limits {

namespace {

std::optional<claim_reason> reason_to_claim(const slot_holder& holder, std::size_t slot,
                                            const claim_context& context) {
    if (holder.host.empty()) {
        return claim_reason::never_held;
    }
    if (holder.released) {
        return claim_reason::released;
    }
    if (holder.host == context.host) {
        const bool unused = holder.incarnation < context.incarnation || !context.holds(slot);
        return unused ? std::optional(claim_reason::own_restart) : std::nullopt;
    }
    if (!context.is_listed(holder.host) && !context.is_recently_heard(holder.host)) {
        return claim_reason::holder_gone;
    }
    return std::nullopt;
}

} // namespace

std::string to_json(const slot_record& record) {
    nlohmann::json slots = nlohmann::json::array();
    for (const slot_holder& s : record.slots) {
        slots.push_back(
            {{"host", s.host}, {"incarnation", s.incarnation}, {"released", s.released}});
    }
    return nlohmann::json{{"epoch", record.epoch}, {"slots", slots}}.dump();
}

std::optional<slot_record> slot_record_from_json(std::string_view text) {
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        slot_record out;
        out.epoch = json.at("epoch");
        for (std::size_t i = 0; i < slots_per_zone; ++i) {
            const nlohmann::json& slot = json.at("slots").at(i);
            out.slots[i] = {slot.at("host"), slot.at("incarnation"), slot.value("released", false)};
        }
        return out;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::optional<slot_claim> find_claim(const slot_record& record, const claim_context& context) {
    for (std::size_t i = 0; i < slots_per_zone; ++i) {
        const std::optional<claim_reason> reason = reason_to_claim(record.slots[i], i, context);
        if (!reason) {
            continue;
        }
        if (*reason == claim_reason::own_restart || context.is_preferred(i)) {
            return slot_claim{i, *reason};
        }
    }
    return std::nullopt;
}

slot_record apply_release(const slot_record& record, std::size_t slot) {
    slot_record next = record;
    ++next.epoch;
    next.slots[slot].released = true;
    return next;
}

slot_record apply_claim(const slot_record& record, const slot_claim& claim, std::string_view host,
                        std::uint64_t incarnation) {
    slot_record next = record;
    ++next.epoch;
    next.slots[claim.slot] = {std::string(host), incarnation, false};
    return next;
}

} // namespace eelgrassdoor::limits
