#pragma once

#include "front/host.hpp"

#include <memory>

namespace cornelloom::front {

/// Announces this host to its peers and starts to watch the objects in the platform's store that
/// operators, targets, trainers and peers write: each kind is listed, then watched for changes.
void start_platform_watches(const std::shared_ptr<host>& self);

/// Puts the configuration that the object contains into force, unless a newer one is.
void apply_configuration(host& self, const stored_object& object);

} // namespace cornelloom::front
