#pragma once

#include "daemon/claims_runner.hpp"

namespace cornelloom::daemon {

/// A claimed call as it passes between hosts: MessagePack, since bodies may be any bytes. The
/// deadline crosses as the time that is left.
[[nodiscard]] std::string encode(const claimed_call& call);
[[nodiscard]] kernel::result<claimed_call> decode_claimed_call(std::string_view bytes);

/// An answer as it passes back.
[[nodiscard]] std::string encode(const transport::http_response& response);
[[nodiscard]] kernel::result<transport::http_response> decode_response(std::string_view bytes);

} // namespace cornelloom::daemon
