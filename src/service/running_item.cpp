#include "base/random_source.hpp"
#include "base/text.hpp"
#include "service/running_item.hpp"
#include "target/response_check.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassdoor::service {

namespace {

using batch::attempt_outcome;

/// A result must fit into one chunk in which results are read, also with its quotes escaped.
constexpr std::size_t max_answer_bytes = 1U << 20U;
constexpr int attempt_id_bytes = 6;

target::target_request make_request(const item_task& task, const std::string& attempt_id) {
    nlohmann::json body = nlohmann::json::parse(task.item.body);
    body["model"] = task.route.model;
    body["stream"] = false;
    target::target_request out;
    out.path = task.item.path;
    out.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    out.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", attempt_id}};
    out.fresh_connection = !task.route.idempotent;
    return out;
}

} // namespace

void running_item::cancel() {
    const absl::MutexLock lock(&m_mutex);
    m_cancelled = true;
    if (m_exchange != nullptr) {
        m_exchange->cancel();
    }
}

item_end running_item::run(const item_task& task, runtime& shared, target_service& targets) {
    const std::string attempt_id =
        str_cat(task.job, "-", task.index, "-", secure_hex(attempt_id_bytes));
    if (shared.drops.cuts(task.endpoint)) {
        return {attempt_outcome::not_run, 0, {}, "the target cannot be reached"};
    }
    target::exchange* exchange = nullptr;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_cancelled) {
            return {attempt_outcome::yielded, 0, {}, {}};
        }
        m_exchange = std::make_unique<target::exchange>(
            shared.workers, targets.connections(task.endpoint), make_request(task, attempt_id));
        exchange = m_exchange.get();
    }
    shared.events.emit(observe::event::item_dispatched, task.job,
                       {{"item", task.item.custom_id}, {"target", task.target}});
    const result<target::answer_head> head = exchange->wait_head(task.route.timeout);
    result<std::string> body = head ? exchange->read_all(task.route.timeout, max_answer_bytes)
                                    : result<std::string>(head.error());
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_cancelled && !body) {
            return {attempt_outcome::yielded, 0, {}, {}};
        }
    }
    if (!body) {
        const bool sent = body.error().run != run_state::not_run;
        return {
            sent ? attempt_outcome::failed : attempt_outcome::not_run, 0, {}, body.error().message};
    }
    const int status = head.value().status;
    if (target::is_refusal(status)) {
        return {attempt_outcome::not_run, status, {}, "the target refused the item"};
    }
    if (status != 200) {
        return {attempt_outcome::failed, status, std::move(body.value()),
                str_cat("the target answered with status ", status)};
    }
    if (!target::answer_belongs(body.value(), attempt_id)) {
        return {attempt_outcome::failed, 0, {}, "the target answered another request"};
    }
    return {attempt_outcome::answered, status, std::move(body.value()), {}};
}

} // namespace eelgrassdoor::service
