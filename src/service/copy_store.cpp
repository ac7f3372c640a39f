#include "service/copy_store.hpp"

#include "base/text.hpp"
#include "peer/codec.hpp"

#include <algorithm>
#include <optional>

namespace eelgrassdoor::service {

namespace {

constexpr duration call_timeout = seconds(5);
constexpr std::uint64_t copy_chunk_bytes = 1U << 20U;
constexpr std::uint64_t max_read_bytes = 4U << 20U;

} // namespace

copy_store::copy_store(daemon_context& context, member_service& members, spool::spool& local)
    : m_context(context), m_members(members), m_local(local),
      m_stored_hook([](std::string_view, std::string_view) {}) {
    m_context.transport.handle_bulk(peer::message_type::store_copy,
                                    [this](const peer::bulk_message& m) { return serve_write(m); });
    m_context.transport.handle_bulk(peer::message_type::read_copy,
                                    [this](const peer::bulk_message& m) { return serve_read(m); });
}

result<std::string> copy_store::endpoint_of(std::string_view host) const {
    const std::string endpoint =
        m_members.with_table([host](const membership::member_table& table) {
            const membership::member* m = table.find(host);
            return m == nullptr ? std::string() : m->record.peer_endpoint();
        });
    if (endpoint.empty()) {
        return error{error_code::unavailable, str_cat("host \"", host, "\" is not known"),
                     run_state::not_run, seconds(1)};
    }
    return endpoint;
}

result<std::uint64_t> copy_store::write(std::string_view host, std::string_view storage,
                                        std::string_view file, std::uint64_t offset,
                                        std::string_view bytes, bool sync) {
    if (host == m_context.settings.host) {
        return write_local(storage, file, offset, bytes, sync);
    }
    BOOST_OUTCOME_TRY(endpoint, endpoint_of(host));
    const peer::store_copy head{std::string(storage), std::string(file), offset, sync};
    BOOST_OUTCOME_TRY(answer, m_context.transport.bulk_call(
                                  endpoint, peer::message_type::store_copy,
                                  {peer::encode(head), std::string(bytes)}, call_timeout));
    const auto stored = peer::decode<peer::store_response>(answer.head);
    if (!stored || !stored->stored) {
        return error{error_code::conflict,
                     str_cat("host \"", host, "\" did not store file \"", file, "\""),
                     run_state::not_run, seconds(1)};
    }
    return stored->size;
}

result<std::string> copy_store::read(std::string_view host, std::string_view storage,
                                     std::string_view file, std::uint64_t offset,
                                     std::uint64_t length) {
    if (host == m_context.settings.host) {
        return m_local.read(storage, file, offset, length);
    }
    BOOST_OUTCOME_TRY(endpoint, endpoint_of(host));
    const peer::read_copy head{std::string(storage), std::string(file), offset, length};
    BOOST_OUTCOME_TRY(answer,
                      m_context.transport.bulk_call(endpoint, peer::message_type::read_copy,
                                                    {peer::encode(head), {}}, call_timeout));
    const auto found = peer::decode<peer::read_response>(answer.head);
    if (!found || !found->found) {
        return error{error_code::not_found,
                     str_cat("host \"", host, "\" does not have file \"", file, "\""),
                     run_state::not_run};
    }
    return std::move(answer.payload);
}

result<void> copy_store::copy(std::string_view from, std::string_view to, std::string_view storage,
                              std::string_view file, std::uint64_t bytes) {
    for (std::uint64_t at = 0; at < bytes || bytes == 0;) {
        const std::uint64_t length = std::min(copy_chunk_bytes, bytes - at);
        BOOST_OUTCOME_TRY(chunk, read(from, storage, file, at, length));
        if (chunk.size() != length) {
            return error{error_code::unavailable,
                         str_cat("file \"", file, "\" on host \"", from, "\" is too short"),
                         run_state::not_run};
        }
        const bool last = at + length == bytes;
        BOOST_OUTCOME_TRY(write(to, storage, file, at, chunk, last));
        at += length;
        if (last) {
            break;
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<std::uint64_t> copy_store::write_local(std::string_view storage, std::string_view file,
                                              std::uint64_t offset, std::string_view bytes,
                                              bool sync) {
    BOOST_OUTCOME_TRY(size, m_local.write(storage, file, offset, bytes, sync));
    if (sync) {
        m_stored_hook(storage, file);
    }
    return size;
}

peer::bulk_message copy_store::serve_write(const peer::bulk_message& request) {
    const auto head = peer::decode<peer::store_copy>(request.head);
    peer::store_response answer;
    if (head) {
        const result<std::uint64_t> size =
            write_local(head->storage, head->file, head->offset, request.payload, head->sync);
        answer.stored = size.has_value();
        answer.size = size ? size.value() : 0;
    }
    return {peer::encode(answer), {}};
}

peer::bulk_message copy_store::serve_read(const peer::bulk_message& request) const {
    const auto head = peer::decode<peer::read_copy>(request.head);
    if (!head) {
        return {peer::encode(peer::read_response{}), {}};
    }
    result<std::string> bytes = m_local.read(head->storage, head->file, head->offset,
                                             std::min(head->length, max_read_bytes));
    if (!bytes) {
        return {peer::encode(peer::read_response{}), {}};
    }
    return {peer::encode(peer::read_response{true}), std::move(bytes.value())};
}

} // namespace eelgrassdoor::service
