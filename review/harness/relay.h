#pragma once

#include "loop/loop.hpp"
#include "transport/http.hpp"

#include <string>

namespace review {

namespace loop = cornelloom::loop;
namespace transport = cornelloom::transport;

/// What a relay does to the bytes that the server sends.
struct relay_plan {
    /// Each placeholder is replaced by `bytes`, which has the same length. The store's stand-in
    /// keeps its objects as parsed JSON, so that it can't hold an entry with bytes that can't be
    /// read; the placeholder stands for them there. Empty: nothing is replaced.
    std::string placeholder;
    std::string bytes;
    /// Each piece of an answer is delayed by a time between these, drawn anew for each.
    loop::milliseconds shortest_delay{0};
    loop::milliseconds longest_delay{0};
};

/// Accepts at `where` and passes everything on to `server`, until the loop ends.
void start_relay(loop::io_context& io, const transport::endpoint& where, transport::endpoint server,
                 relay_plan plan);

} // namespace review
