#include "front/store_request.hpp"

namespace cornelloom::front {

std::string_view to_string(object_kind kind) {
    switch (kind) {
    case object_kind::configuration:
        return "configuration";
    case object_kind::targets:
        return "targets";
    case object_kind::versions:
        return "versions";
    case object_kind::retirements:
        return "retirements";
    case object_kind::hosts:
        return "hosts";
    case object_kind::batches:
        return "batches";
    case object_kind::batch_parts:
        return "batch_parts";
    case object_kind::batch_log:
        return "batch_log";
    case object_kind::order_lease:
        return "order_lease";
    case object_kind::usage_reports:
        return "usage_reports";
    case object_kind::quarantines:
        return "quarantines";
    }
    return "other";
}

std::string_view to_string(store_verb verb) {
    switch (verb) {
    case store_verb::list:
        return "list";
    case store_verb::watch:
        return "watch";
    case store_verb::read:
        return "read";
    case store_verb::create:
        return "create";
    case store_verb::replace:
        return "replace";
    }
    return "other";
}

} // namespace cornelloom::front
