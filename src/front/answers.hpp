#pragma once

#include "front/host.hpp"
#include "loop/listener.hpp"

#include <string_view>

namespace cornelloom::front {

/// An answer of a status alone.
loop::task<void> answer_status(loop::served_request& request, int status);

/// Refuses a request that has not run and will not: status 503, with the time to come back.
loop::task<void> refuse(host& self, loop::served_request& request, std::string_view id,
                        std::string_view reason, milliseconds come_back);

/// Fails a request that may have run: status 504 when its time is up, else 502.
loop::task<void> fail(host& self, loop::served_request& request, std::string_view id,
                      std::string_view reason, bool time_is_up);

/// Refuses what no repetition would help: 400, 404, 405, 413.
loop::task<void> reject(host& self, loop::served_request& request, std::string_view id,
                        std::string_view reason, int status);

/// When a caller that found no free target may come back: the time of a usual plain request.
inline constexpr milliseconds come_back_soon{100};
/// When a caller may come back that found a host without configuration, or the store out of reach.
inline constexpr milliseconds come_back_later{300};

} // namespace cornelloom::front
