#pragma once

#include "front/host.hpp"

#include <memory>

namespace cornelloom::front {

/// Starts to report the requests of client accounts to the platform, window by window, while this
/// process is the leader.
///
/// If a leader crashes or is disconnected between two attempts to report a window, the next leader
/// may have different counts, and the platform would get two different reports. Each report is
/// therefore first stored by a conditional write, and every leader sends the stored report.
void start_usage_reports(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
