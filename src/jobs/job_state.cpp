#include "jobs/job_state.hpp"

#include "base/text.hpp"
#include "jobs/result_size.hpp"
#include "peer/codec.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace eelgrassdoor::net {

template <typename Archive> void serialize(Archive& ar, http_header& header) {
    ar(header.name, header.value);
}

} // namespace eelgrassdoor::net

namespace eelgrassdoor::serving {

template <typename Archive> void save(Archive& ar, const submitted_item& item) {
    ar(item.id, item.path, item.headers.all(), item.body, item.tokens);
}

template <typename Archive> void load(Archive& ar, submitted_item& item) {
    std::vector<net::http_header> headers;
    ar(item.id, item.path, headers, item.body, item.tokens);
    for (const net::http_header& header : headers) {
        item.headers.add(header.name, header.value);
    }
}

template <typename Archive> void serialize(Archive& ar, item_result& result) {
    ar(result.item, result.complete, result.output);
}

template <typename Archive> void serialize(Archive& ar, result_page& page) {
    ar(page.total, page.next, page.results);
}

} // namespace eelgrassdoor::serving

namespace eelgrassdoor::jobs {

template <typename Archive> void serialize(Archive& ar, job_state& s) {
    ar(s.job, s.customer, s.route, s.host, s.owner, s.owner_incarnation, s.epoch, s.items,
       s.committed_count, s.cancelled, s.tokens, s.submitted_at, s.change_id);
}

namespace {

/// Limit for the items in one value, unless it holds a single one. The store allows 1 MB per value;
/// the rest leaves room for the encoding on the wire.
constexpr std::size_t max_part_bytes = 384 * 1024;

} // namespace

std::string state_key(std::string_view job) {
    return str_cat(state_prefix, job);
}

std::string items_key(std::string_view job, std::size_t part) {
    return str_cat(items_prefix, job, "/", absl::Dec(part, absl::kZeroPad4));
}

std::string results_key(std::string_view job, std::uint64_t position) {
    return str_cat(results_prefix, job, "/", absl::Dec(position, absl::kZeroPad8));
}

std::string cancelled_key(std::string_view job) {
    return str_cat(cancelled_prefix, job);
}

std::string refusal_key(std::string_view job) {
    return str_cat(refusals_prefix, job);
}

std::string encode(const job_state& state) {
    return peer::encode(state);
}

std::optional<job_state> decode_state(std::string_view bytes) {
    return peer::decode<job_state>(bytes);
}

std::vector<std::string> encode_items(const std::vector<serving::submitted_item>& items) {
    std::vector<std::string> parts;
    std::vector<serving::submitted_item> part;
    std::size_t bytes = 0;
    for (const serving::submitted_item& item : items) {
        const std::size_t item_bytes = stored_size(item);
        if (!part.empty() && bytes + item_bytes > max_part_bytes) {
            parts.push_back(peer::encode(part));
            part.clear();
            bytes = 0;
        }
        part.push_back(item);
        bytes += item_bytes;
    }
    parts.push_back(peer::encode(part));
    return parts;
}

std::optional<std::vector<serving::submitted_item>> decode_items(std::string_view bytes) {
    return peer::decode<std::vector<serving::submitted_item>>(bytes);
}

std::string encode(const std::vector<serving::item_result>& results) {
    return peer::encode(results);
}

std::optional<std::vector<serving::item_result>> decode_results(std::string_view bytes) {
    return peer::decode<std::vector<serving::item_result>>(bytes);
}

std::string encode(const serving::result_page& page) {
    return peer::encode(page);
}

std::optional<serving::result_page> decode_page(std::string_view bytes) {
    return peer::decode<serving::result_page>(bytes);
}

} // namespace eelgrassdoor::jobs
