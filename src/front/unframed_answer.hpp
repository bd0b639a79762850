#pragma once

#include "loop/exchange.hpp"

/// Answers without a length, which `loop::call` counts as broken: a server that stopped ends its
/// answer alike.
namespace cornelloom::front {

/// Takes such an answer where it is known to be whole: a refusal, for its status says it all, and a
/// JSON object, for no part of one is another. Of a refusal, a body that may be cut is left out.
[[nodiscard]] loop::call_outcome take_if_whole(loop::call_outcome outcome);

/// Takes such an answer for its status alone, without the body.
[[nodiscard]] loop::call_outcome take_status(loop::call_outcome outcome);

} // namespace cornelloom::front
