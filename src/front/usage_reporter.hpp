#pragma once

#include "front/host.hpp"

#include <memory>

namespace cornelloom::front {

/// Reports the requests of client accounts to the platform, window by window, while this process
/// leads.
///
/// Failure it is made for: the leader dies or is cut off between two tries to report a window, and
/// the next one has counted differently; the platform would have two reports. So what is reported
/// is first stored under a condition, and every leader sends what is stored.
void start_usage_reports(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
