#include "service/job_intake.hpp"

#include "base/digest.hpp"
#include "base/random_source.hpp"
#include "base/text.hpp"
#include "batch/item_line.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace eelgrassdoor::service {

namespace {

constexpr std::size_t flush_bytes = 1U << 20U;
constexpr std::size_t max_findings = 100;
constexpr int storage_name_bytes = 12;

error invalid_submission(std::string message) {
    return {error_code::invalid_request, std::move(message), run_state::not_run};
}

error no_spools_error() {
    return {error_code::unavailable,
            "a job needs reachable spool hosts in two availability zones; there are fewer now",
            run_state::not_run, seconds(5)};
}

/// Two live spool hosts in two zones, this host first if it has a spool; fewer if there are no two.
std::vector<std::string> choose_hosts(const membership::member_table& table,
                                      std::string_view storage) {
    const std::uint64_t key = stable_hash(storage);
    std::vector<const membership::member_record*> spool_hosts = table.live();
    std::erase_if(spool_hosts, [](const auto* r) { return !r->has_spool; });
    std::ranges::sort(spool_hosts, [&](const auto* a, const auto* b) {
        const bool self_a = a->host == table.self().host;
        const bool self_b = b->host == table.self().host;
        return std::pair(self_a, rendezvous_weight(key, a->host)) >
               std::pair(self_b, rendezvous_weight(key, b->host));
    });
    std::vector<std::string> out;
    std::string first_zone;
    for (const auto* r : spool_hosts) {
        if (out.empty()) {
            first_zone = r->availability_zone;
            out.push_back(r->host);
        } else if (r->availability_zone != first_zone) {
            out.push_back(r->host);
            break;
        }
    }
    return out;
}

} // namespace

/// Incremental SHA-256.
class job_intake::body_digest {
public:
    body_digest() : m_evp_context(EVP_MD_CTX_new()) {
        EVP_DigestInit_ex(m_evp_context, EVP_sha256(), nullptr);
    }
    ~body_digest() { EVP_MD_CTX_free(m_evp_context); }
    body_digest(const body_digest&) = delete;
    body_digest& operator=(const body_digest&) = delete;

    void add(std::string_view bytes) {
        EVP_DigestUpdate(m_evp_context, bytes.data(), bytes.size());
    }
    std::string hex() {
        std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
        unsigned int size = 0;
        EVP_DigestFinal_ex(m_evp_context, out.data(), &size);
        return to_hex({reinterpret_cast<const char*>(out.data()), size});
    }

private:
    EVP_MD_CTX* m_evp_context;
};

job_intake::job_intake(daemon_context& context, member_service& members, copy_store& copies,
                       job_store& jobs, submission details)
    : m_context(context), m_members(members), m_copies(copies), m_jobs(jobs),
      m_submission(std::move(details)), m_storage("s-" + secure_random_hex(storage_name_bytes)),
      m_digest(std::make_unique<body_digest>()) {}

job_intake::~job_intake() = default;

result<void> job_intake::begin() {
    m_hosts = m_members.with_table(
        [this](const membership::member_table& table) { return choose_hosts(table, m_storage); });
    if (m_hosts.size() < 2) {
        return no_spools_error();
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> job_intake::add(std::string_view bytes) {
    m_digest->add(bytes);
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        m_partial_line += bytes.substr(0, end);
        if (m_partial_line.size() > batch::max_item_bytes) {
            return invalid_submission(
                str_cat("line ", m_items + 1, " is longer than ", batch::max_item_bytes, " bytes"));
        }
        if (end == std::string_view::npos) {
            break;
        }
        BOOST_OUTCOME_TRY(add_line(m_partial_line));
        m_partial_line.clear();
        bytes.remove_prefix(end + 1);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> job_intake::add_line(std::string_view line) {
    if (strip(line).empty()) {
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    ++m_items;
    const result<batch::item_line> item = batch::parse_item(line);
    if (!item) {
        if (m_findings.size() < max_findings) {
            m_findings.push_back({str_cat("line ", m_items), item.error().message});
        }
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    m_id_hashes.push_back(stable_hash(item.value().custom_id));
    m_buffer += line;
    m_buffer += '\n';
    return m_buffer.size() >= flush_bytes ? flush(false)
                                          : result<void>(BOOST_OUTCOME_V2_NAMESPACE::success());
}

result<void> job_intake::flush(bool sync) {
    for (const std::string& host : m_hosts) {
        const result<std::uint64_t> stored =
            m_copies.write(host, m_storage, items_file, m_written_bytes, m_buffer, sync);
        if (!stored) {
            return error{error_code::unavailable,
                         str_cat("the job cannot be stored: ", stored.error().message),
                         run_state::not_run, seconds(5)};
        }
    }
    m_written_bytes += m_buffer.size();
    m_buffer.clear();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> job_intake::validate_items() {
    std::ranges::sort(m_id_hashes);
    if (std::ranges::adjacent_find(m_id_hashes) != m_id_hashes.end()) {
        m_findings.push_back({"body", "contains a custom_id more than once"});
    }
    if (m_items == 0) {
        m_findings.push_back({"body", "contains no items"});
    }
    if (!m_findings.empty()) {
        return invalid_submission(to_text(m_findings));
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<batch::job_record> job_intake::finish() {
    if (!m_partial_line.empty()) {
        BOOST_OUTCOME_TRY(add_line(m_partial_line));
    }
    BOOST_OUTCOME_TRY(validate_items());
    BOOST_OUTCOME_TRY(flush(true));
    batch::job_record record;
    record.customer = m_submission.customer;
    record.body_digest = m_digest->hex();
    record.job =
        batch::job_id(m_submission.customer, m_submission.idempotency_key, record.body_digest);
    record.storage = m_storage;
    record.item_count = m_items;
    record.item_bytes = m_written_bytes;
    record.copies = m_hosts;
    record.due_s = m_submission.due_s;
    // The file with the job's id is written last: a storage without it was never acknowledged.
    for (const std::string& host : m_hosts) {
        const result<std::uint64_t> stored =
            m_copies.write(host, m_storage, job_file, 0, record.job, true);
        if (!stored) {
            return error{error_code::unavailable,
                         str_cat("the job cannot be stored: ", stored.error().message),
                         run_state::not_run, seconds(5)};
        }
    }
    BOOST_OUTCOME_TRY(created, m_jobs.create(record));
    if (created.record.body_digest != record.body_digest) {
        return error{error_code::conflict,
                     "the Idempotency-Key was already used for a different job",
                     run_state::not_run};
    }
    if (created.record.storage == m_storage) {
        m_context.events.emit(
            observe::event::job_accepted, record.job,
            {{"items", std::to_string(m_items)}, {"copies", str_join(m_hosts, ",")}});
    }
    return created.record;
}

} // namespace eelgrassdoor::service
