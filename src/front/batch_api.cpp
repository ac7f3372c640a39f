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

result<caller> batch_api::who_calls(const httplib::Request& in) const {
    const config::document_ptr doc = m_parts.shared.configuration.get();
    if (doc == nullptr) {
        return error{error_code::unavailable, "no configuration is in force yet",
                     run_state::not_run, seconds(2)};
    }
    return identify(*doc, bearer_key(in));
}

void batch_api::submit(const httplib::Request& in, httplib::Response& out,
                       const httplib::ContentReader& body) {
    const std::string request_id = new_request_id();
    const result<std::string> answer = accept(in, body, request_id);
    if (answer) {
        out.set_content(answer.value(), "application/json");
    } else {
        // The rest of the body is not read, so the connection cannot be used again.
        out.set_header("Connection", "close");
        write_error(out, answer.error(), request_id);
    }
}

result<std::string> batch_api::accept(const httplib::Request& in,
                                      const httplib::ContentReader& body,
                                      const std::string& request_id) {
    BOOST_OUTCOME_TRY(who, who_calls(in));
    BOOST_OUTCOME_TRY(m_parts.limits.admit(who.customer, request_id));
    service::submission what{who.customer, in.get_header_value("Idempotency-Key"), 0};
    const std::string due = in.get_header_value(std::string(due_header));
    if (!due.empty() && (!parse_double(due, what.due_s) || what.due_s <= 0)) {
        return error{error_code::invalid_request,
                     str_cat("header ", due_header, " must be a positive number of seconds"),
                     run_state::not_run};
    }
    service::job_intake intake(m_parts.shared, m_parts.members, m_parts.copies, m_parts.jobs,
                               std::move(what));
    BOOST_OUTCOME_TRY(intake.begin());
    std::optional<error> failed;
    const bool complete = body([&](const char* data, std::size_t size) {
        const result<void> added = intake.add({data, size});
        if (!added) {
            failed = added.error();
        }
        return added.has_value();
    });
    if (failed) {
        return *failed;
    }
    if (!complete) {
        return error{error_code::invalid_request, "the body ended before its length",
                     run_state::not_run};
    }
    BOOST_OUTCOME_TRY(record, intake.finish());
    m_parts.keeper.notify(record);
    return job_json(record);
}

result<batch::job_record> batch_api::find_job(const httplib::Request& in, bool may_lag) {
    BOOST_OUTCOME_TRY(who, who_calls(in));
    const std::string job = in.matches[1].str();
    const result<service::stored_job> stored = m_parts.jobs.load(job);
    const bool out_of_reach = !stored && stored.error().code == error_code::unavailable;
    if (!stored && !(out_of_reach && may_lag)) {
        return stored.error();
    }
    BOOST_OUTCOME_TRY(found, out_of_reach ? m_parts.keeper.find_with_peers(job)
                                          : result<batch::job_record>(stored.value().record));
    if (found.customer != who.customer) {
        return error{error_code::not_found, str_cat("job \"", job, "\" does not exist"),
                     run_state::not_run};
    }
    return found;
}

result<std::string> batch_api::status(const httplib::Request& in) {
    BOOST_OUTCOME_TRY(record, find_job(in, true));
    return job_json(record);
}

result<std::string> batch_api::cancel(const httplib::Request& in) {
    BOOST_OUTCOME_TRY(before, find_job(in, false));
    BOOST_OUTCOME_TRY(record, m_parts.jobs.cancel(before.job));
    m_parts.keeper.notify(record);
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
                m_parts.jobs.read_entries(record, [&sink](const batch::item_entry& entry) {
                    const std::string line = entry.line + "\n";
                    return entry.is_intent || sink.write(line.data(), line.size());
                });
            // Without the final chunk the caller sees that the answer is not whole.
            if (read) {
                sink.done();
            }
            return read.has_value();
        });
}

} // namespace eelgrassdoor::front
