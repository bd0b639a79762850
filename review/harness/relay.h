#pragma once

#include "loop/loop.hpp"
#include "transport/http.hpp"

#include <string>

namespace review {

namespace loop = cornelloom::loop;
namespace transport = cornelloom::transport;

/// Accepts at `where` and passes everything on to `server`, until the loop ends. In what the server
/// sends, each `placeholder` is replaced by `bytes`, which must have the same length.
///
/// The store's stand-in keeps its objects as parsed JSON, so that it can't hold an entry with bytes
/// that can't be read; the placeholder stands for them there.
void start_relay(loop::io_context& io, const transport::endpoint& where, transport::endpoint server,
                 std::string placeholder, std::string bytes);

} // namespace review
