/// \file
/// Defines everything that a daemon needs of the platform it runs on: an adapter fills it in.
#pragma once

#include "config/serving_plan.hpp"
#include "routing/fleet_load.hpp"
#include "serving/protocol_codec.hpp"
#include "store/kv_store.hpp"

#include <functional>
#include <optional>
#include <string>

namespace eelgrassdoor::host {

/// How the platform's key-value service is laid out, and what its interfaces look like.
struct host_adapter {
    store::kv_store store;
    serving::caller_wire wire;
    /// Prefix of the operator's records, and the key of the configuration below it.
    std::string operator_prefix;
    std::string plan_key;
    std::function<result<config::serving_plan>(std::string_view value)> decode_plan;
    /// Prefix of the targets' own entries.
    std::string target_prefix;
    std::function<result<routing::fleet_target>(const store::kv_item&)> decode_target;
    /// The key by which the operator asks that a host be emptied, and the write that answers.
    std::function<std::string(std::string_view host)> evacuation_key;
    std::function<store::kv_write(std::string_view host, bool complete)> evacuation_status;
    /// Path of the balancer's question, and of the metrics.
    std::string readiness_path;
    std::string metrics_path;
    /// Reads the settings again; nothing when they have not changed.
    std::function<void()> reload;
};

} // namespace eelgrassdoor::host
