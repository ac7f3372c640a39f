#include "service/document_service.hpp"

#include "peer/codec.hpp"

#include <utility>

namespace eelgrassdoor::service {

namespace {

constexpr int delegates_per_zone = 2;
constexpr duration poll_interval = seconds(1);
constexpr duration pull_interval = milliseconds(200);
constexpr duration pull_timeout = seconds(2);

} // namespace

document_service::document_service(daemon_context& context, platform::config_repository& repository,
                                   member_service& members)
    : m_context(context), m_repository(repository), m_members(members),
      m_host_list_client(context.settings.platform_url, context.clock, context.drop_list),
      m_hosts(std::make_shared<const platform::host_list>()) {
    m_context.transport.handle_bulk(
        peer::message_type::pull_document,
        [this](const peer::bulk_message& m) { return serve_document(m); });
}

void document_service::start() {
    m_poller.start(poll_interval, [this] { poll(); });
    m_puller.start(pull_interval, [this] { pull(); });
}

void document_service::stop() {
    m_poller.stop();
    m_puller.stop();
}

platform::host_list_ptr document_service::hosts() const {
    const absl::MutexLock lock(&m_mutex);
    return m_hosts;
}

bool document_service::host_list_fresh(duration age) const {
    const absl::MutexLock lock(&m_mutex);
    return m_hosts->version != 0 && m_context.clock() - m_hosts_read_at <= age;
}

void document_service::offer(const config::document_ptr& doc) {
    if (m_context.configuration.offer(doc)) {
        m_context.events.emit(
            observe::event::configuration_in_force, {},
            {{"version", std::to_string(doc->head.version)}, {"author", doc->head.author}});
        m_context.metrics.gauge("configuration_version", static_cast<double>(doc->head.version));
    }
}

void document_service::poll() {
    const bool delegate = m_members.with_table([](const membership::member_table& table) {
        return table.is_delegate(delegates_per_zone);
    });
    if (!delegate && m_context.configuration.version() != 0) {
        return;
    }
    const result<config::head_record> head = m_repository.read_head();
    if (head && head.value().version > m_context.configuration.version()) {
        const result<config::document_ptr> doc = m_repository.read(m_context.configuration.get());
        if (doc) {
            offer(doc.value());
        }
    }
    result<platform::host_list> hosts = m_host_list_client.fetch();
    if (hosts) {
        const absl::MutexLock lock(&m_mutex);
        m_hosts_read_at = m_context.clock();
    }
    if (hosts) {
        apply_host_list(std::move(hosts.value()));
    }
}

void document_service::apply_host_list(platform::host_list list) {
    auto received = std::make_shared<const platform::host_list>(std::move(list));
    {
        const absl::MutexLock lock(&m_mutex);
        if (received->version <= m_hosts->version) {
            return;
        }
        m_hosts = received;
    }
    m_members.set_host_list(*received);
    m_host_list_hook(*received);
}

std::uint64_t document_service::local_version(peer::document_kind kind) const {
    return kind == peer::document_kind::configuration ? m_context.configuration.version()
                                                      : hosts()->version;
}

void document_service::handle_sender_record(const membership::member_record& peer_record) {
    const auto record_newer = [&](peer::document_kind kind, std::uint64_t version) {
        if (version <= local_version(kind)) {
            return false;
        }
        const absl::MutexLock lock(&m_mutex);
        m_newer_versions[kind] = {version, peer_record.peer_endpoint()};
        return true;
    };
    const bool newer_config =
        record_newer(peer::document_kind::configuration, peer_record.config_version);
    const bool newer_hosts =
        record_newer(peer::document_kind::host_list, peer_record.host_list_version);
    bool first_contact = false;
    {
        // The member list is pulled once; afterwards gossip delivers the changes.
        const absl::MutexLock lock(&m_mutex);
        first_contact = !std::exchange(m_members_pulled, true);
        if (first_contact) {
            m_newer_versions[peer::document_kind::members] = {1, peer_record.peer_endpoint()};
        }
    }
    if (newer_config || newer_hosts || first_contact) {
        m_puller.wake();
    }
}

void document_service::pull() {
    std::map<peer::document_kind, version_source> newer;
    {
        const absl::MutexLock lock(&m_mutex);
        newer.swap(m_newer_versions);
    }
    for (const auto& [kind, source] : newer) {
        if (kind == peer::document_kind::members || source.version > local_version(kind)) {
            fetch_document(kind, source);
        }
    }
}

void document_service::fetch_document(peer::document_kind kind, const version_source& source) {
    const result<peer::bulk_message> answer =
        m_context.transport.bulk_call(source.endpoint, peer::message_type::pull_document,
                                      {peer::encode(peer::pull_document{kind}), {}}, pull_timeout);
    if (!answer) {
        const absl::MutexLock lock(&m_mutex);
        m_members_pulled = m_members_pulled && kind != peer::document_kind::members;
        return;
    }
    const std::string& text = answer.value().payload;
    if (kind == peer::document_kind::members) {
        m_members.merge_members(text);
    } else if (kind == peer::document_kind::configuration) {
        offer(config::decode_document(text));
    } else if (std::optional<platform::host_list> list = platform::host_list_from_json(text)) {
        apply_host_list(*std::move(list));
    }
}

peer::bulk_message document_service::serve_document(const peer::bulk_message& request) const {
    const auto query = peer::decode<peer::pull_document>(request.head);
    if (!query) {
        return {};
    }
    if (query->kind == peer::document_kind::members) {
        return {{}, m_members.encode_members()};
    }
    if (query->kind == peer::document_kind::host_list) {
        return {{}, platform::to_json(*hosts())};
    }
    const config::document_ptr doc = m_context.configuration.get();
    return {{}, doc == nullptr ? std::string() : config::encode_document(*doc)};
}

} // namespace eelgrassdoor::service
