#include "serving/target_connection.hpp"

#include "base/text.hpp"

namespace eelgrassdoor::serving {

net::task<result<std::shared_ptr<net::tcp_connection>>>
connect_to_target(service_context& context, std::string endpoint, time_point deadline) {
    if (context.is_partitioned && context.is_partitioned(endpoint)) {
        co_return error{
            error_code::target_failed,
            str_cat("cannot connect to ", endpoint, ": blocked by a simulated partition"),
            run_state::not_run};
    }
    co_return co_await net::http_client::connect(context.executor, std::move(endpoint), deadline);
}

} // namespace eelgrassdoor::serving
