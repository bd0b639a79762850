#pragma once

#include "transport/http.hpp"

#include <string_view>

namespace cornelloom::front {

/// The kinds of objects that the system reads from or writes to the platform's store.
enum class object_kind {
    configuration,
    targets,
    versions,
    retirements,
    hosts,         ///< Hosts of the system, so that they find their peers.
    batches,       ///< Accepted batches.
    batch_parts,   ///< Parts of batches that are too large for one object.
    batch_log,     ///< Log entries with the progress of a batch.
    order_lease,   ///< Lease of the host that gives orders to targets for all.
    usage_reports, ///< Reported usage by client account.
    quarantines,   ///< Requests that crash targets.
};

[[nodiscard]] std::string_view to_string(object_kind kind);

/// Operation on the objects of one kind.
enum class store_verb { list, watch, read, create, replace };

[[nodiscard]] std::string_view to_string(store_verb verb);

/// A call to the platform's store, with the labels under which it is counted.
struct store_request {
    object_kind kind = object_kind::configuration;
    store_verb verb = store_verb::read;
    transport::http_request message{};
};

} // namespace cornelloom::front
