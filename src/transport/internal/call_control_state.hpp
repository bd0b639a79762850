#pragma once

#include "transport/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <mutex>

namespace cornelloom::transport {

/// What a call and the thread that cancels it share. The call lends its context and socket for as
/// long as it runs; `cancel` only posts to the context, so the socket is touched by one thread.
struct call_control::state {
    std::mutex mutex;
    bool cancelled = false;
    boost::asio::io_context* context = nullptr;
    boost::asio::ip::tcp::socket* socket = nullptr;
};

} // namespace cornelloom::transport
