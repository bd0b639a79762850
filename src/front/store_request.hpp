#pragma once

#include "transport/http.hpp"

#include <string_view>

namespace cornelloom::front {

/// The kinds of objects that the system reads or keeps on the platform.
enum class object_kind {
    configuration,
    targets,
    versions,
    retirements,
    hosts,         ///< Hosts of the system, for their peers.
    batches,       ///< Accepted batches.
    batch_parts,   ///< Pieces of batches that are too large for one object.
    batch_log,     ///< What has happened to a batch, entry by entry.
    order_lease,   ///< Who may give orders to targets and call the platform for all.
    usage_reports, ///< What is reported of the requests of client accounts.
};

[[nodiscard]] std::string_view to_string(object_kind kind);

/// What a call does with objects of one kind.
enum class store_verb { list, watch, read, create, replace };

[[nodiscard]] std::string_view to_string(store_verb verb);

/// A call to the platform's store, with what the counters say of it.
struct store_request {
    object_kind kind = object_kind::configuration;
    store_verb verb = store_verb::read;
    transport::http_request message{};
};

} // namespace cornelloom::front
