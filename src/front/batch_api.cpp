#include "front/batch_api.hpp"

#include "base/random_source.hpp"
#include "base/text.hpp"
#include "front/responses.hpp"
#include "service/job_intake.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <optional>

namespace eelgrassdoor::front {

namespace {

using nlohmann::json;

constexpr int request_id_bytes = 8;
constexpr std::string_view due_header = "X-Due-Seconds";

std::string new_request_id() {
    return str_cat("req-", secure_random_hex(request_id_bytes));
}

std::string job_json(const batch::job_record& r) {
    return json{{"id", r.job},
                {"object", "batch"},
                {"status", batch::to_string(r.state)},
                {"request_counts",
                 {{"total", r.item_count}, {"completed", r.done - r.failed}, {"failed", r.failed}}},
                {"owner", r.owner},
                {"epoch", r.epoch}}
        .dump();
}

} // namespace

void batch_api::add_routes(httplib::Server& server) {
    const auto bind = [this](auto method) {
        return [this, method](const httplib::Request& in, httplib::Response& out) {
            const result<std::string> answer = (this->*method)(in);
            if (answer) {
                out.set_content(answer.value(), "application/json");
            } else {
                write_error(out, answer.error(), new_request_id());
            }
        };
    };
    server.Post("/v1/batches",
                [this](const httplib::Request& in, httplib::Response& out,
                       const httplib::ContentReader& body) { submit(in, out, body); });
    server.Get(R"(/v1/batches/([^/]+))", bind(&batch_api::status));
    server.Post(R"(/v1/batches/([^/]+)/cancel)", bind(&batch_api::cancel));
    server.Get(R"(/v1/batches/([^/]+)/results)",
               [this](const httplib::Request& in, httplib::Response& out) { results(in, out); });
}

result<caller_identity> batch_api::authenticate_caller(const httplib::Request& in) const {
    const config::document_ptr doc = m_deps.context.configuration.get();
    if (doc == nullptr) {
        return error{error_code::unavailable, "no configuration is in force yet",
                     run_state::not_run, seconds(2)};
    }
    return authenticate(*doc, bearer_key(in));
}

void batch_api::submit(const httplib::Request& in, httplib::Response& out,
                       const httplib::ContentReader& body) {
    const std::string request_id = new_request_id();
    const result<std::string> answer = accept_submission(in, body, request_id);
    if (answer) {
        out.set_content(answer.value(), "application/json");
    } else {
        // The unread rest of the body makes the connection unusable for further requests.
        out.set_header("Connection", "close");
        write_error(out, answer.error(), request_id);
    }
}

result<std::string> batch_api::accept_submission(const httplib::Request& in,
                                                 const httplib::ContentReader& body,
                                                 const std::string& request_id) {
    BOOST_OUTCOME_TRY(identity, authenticate_caller(in));
    BOOST_OUTCOME_TRY(m_deps.limits.admit(identity.customer, request_id));
    service::submission submission{identity.customer, in.get_header_value("Idempotency-Key"), 0};
    const std::string due = in.get_header_value(std::string(due_header));
    if (!due.empty() && (!parse_double(due, submission.due_s) || submission.due_s <= 0)) {
        return error{error_code::invalid_request,
                     str_cat("header ", due_header, " must be a positive number of seconds"),
                     run_state::not_run};
    }
    service::job_intake intake(m_deps.context, m_deps.members, m_deps.copies, m_deps.jobs,
                               std::move(submission));
    BOOST_OUTCOME_TRY(intake.begin());
    std::optional<error> intake_error;
    const bool complete = body([&](const char* data, std::size_t size) {
        const result<void> added = intake.add({data, size});
        if (!added) {
            intake_error = added.error();
        }
        return added.has_value();
    });
    if (intake_error) {
        return *intake_error;
    }
    if (!complete) {
        return error{error_code::invalid_request, "the request body ended prematurely",
                     run_state::not_run};
    }
    BOOST_OUTCOME_TRY(record, intake.finish());
    m_deps.job_copies.notify(record);
    return job_json(record);
}

result<batch::job_record> batch_api::find_job(const httplib::Request& in, bool allow_stale) {
    BOOST_OUTCOME_TRY(identity, authenticate_caller(in));
    const std::string job = in.matches[1].str();
    const result<service::stored_job> stored = m_deps.jobs.load(job);
    const bool store_unavailable = !stored && stored.error().code == error_code::unavailable;
    if (!stored && !(store_unavailable && allow_stale)) {
        return stored.error();
    }
    BOOST_OUTCOME_TRY(record, store_unavailable ? m_deps.job_copies.find_with_peers(job)
                                                : result<batch::job_record>(stored.value().record));
    if (record.customer != identity.customer) {
        return error{error_code::not_found, str_cat("job \"", job, "\" does not exist"),
                     run_state::not_run};
    }
    return record;
}

result<std::string> batch_api::status(const httplib::Request& in) {
    BOOST_OUTCOME_TRY(record, find_job(in, true));
    return job_json(record);
}

result<std::string> batch_api::cancel(const httplib::Request& in) {
    BOOST_OUTCOME_TRY(stored_record, find_job(in, false));
    BOOST_OUTCOME_TRY(record, m_deps.jobs.cancel(stored_record.job));
    m_deps.job_copies.notify(record);
    return job_json(record);
}

void batch_api::results(const httplib::Request& in, httplib::Response& out) {
    const result<batch::job_record> record = find_job(in, true);
    if (!record) {
        write_error(out, record.error(), new_request_id());
        return;
    }
    out.set_chunked_content_provider(
        "application/jsonl", [this, record = record.value()](std::size_t, httplib::DataSink& sink) {
            const result<void> read =
                m_deps.jobs.read_entries(record, [&sink](const batch::item_entry& entry) {
                    const std::string line = entry.line + "\n";
                    return entry.is_intent || sink.write(line.data(), line.size());
                });
            // Omitting the final chunk on an error lets the caller detect a truncated response.
            if (read) {
                sink.done();
            }
            return read.has_value();
        });
}

} // namespace eelgrassdoor::front
