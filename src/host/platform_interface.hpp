/// \file
/// Defines the interface between a daemon and the platform it runs on, which an adapter implements.
#pragma once

#include "config/serving_plan.hpp"
#include "routing/fleet_load.hpp"
#include "serving/protocol_codec.hpp"
#include "store/kv_store.hpp"

#include <functional>
#include <optional>
#include <string>

namespace eelgrassdoor::host {

/// Access to the platform's key-value service, its layout, and the codecs of its interfaces.
struct platform_interface {
    store::kv_store store;
    serving::protocol_codec codec;
    /// Prefix of the operator's records, and the key of the configuration below it.
    std::string operator_prefix;
    std::string plan_key;
    /// Decodes the configuration; an error says what is wrong with it.
    std::function<result<config::serving_plan>(std::string_view value)> decode_plan;
    /// Prefix of the entries that targets write for themselves.
    std::string target_prefix;
    /// Decodes the entry of a target; an error says why it is malformed.
    std::function<result<routing::fleet_target>(const store::kv_item&)> decode_target;
    /// The availability zone that may get no requests as long as the operator's record with this
    /// key exists; nothing for other records.
    std::function<std::optional<std::string>(std::string_view key)> evacuated_zone;
    /// The key whose presence requests the evacuation of a host.
    std::function<std::string(std::string_view host)> evacuation_key;
    /// The write that reports the state of an evacuation.
    std::function<store::kv_write(std::string_view host, bool complete)> evacuation_status;
    /// Path of the load balancer's readiness check; other paths get status 404.
    std::string readiness_path;
    /// Path of the metrics. Not enforced: the metrics endpoint serves them on any path.
    std::string metrics_path;
    /// Reloads the settings if they have changed; called every two seconds. May be empty.
    std::function<void()> reload;
};

} // namespace eelgrassdoor::host
