#pragma once

#include "front/host.hpp"
#include "loop/listener.hpp"

#include <string_view>

namespace cornelloom::front {

/// Answers with a status and no body.
loop::task<void> answer_status(loop::served_request& request, int status);

/// Refuses a request that has not run and will not run: status 503 with a retry delay.
loop::task<void> refuse(host& self, loop::served_request& request, std::string_view id,
                        std::string_view reason, milliseconds retry_delay);

/// Refuses a request that has crashed several targets and has not run in this attempt: status 503,
/// with the time after which it would be tried again and a JSON body with the reason. A status that
/// a caller's client takes for a failure of the host would be sent again at once.
loop::task<void> refuse_quarantined(host& self, loop::served_request& request, std::string_view id,
                                    const quarantine_verdict& verdict);

/// Fails a request that may have run: status 504 after its deadline, otherwise 502.
loop::task<void> fail(host& self, loop::served_request& request, std::string_view id,
                      std::string_view reason, bool deadline_passed);

/// Refuses a request for which a retry is pointless: status 400, 401, 404, 405 or 413.
/// `detail`, which may quote the request, is logged, and is not a label of a metric.
loop::task<void> reject(host& self, loop::served_request& request, std::string_view id,
                        std::string_view reason, int status, std::string_view detail = {});

/// Retry delay when no target was free: the duration of a typical plain request.
inline constexpr milliseconds no_target_retry_delay{100};
/// Retry delay when this host has no current configuration or can't reach the store.
inline constexpr milliseconds unavailable_retry_delay{300};

} // namespace cornelloom::front
