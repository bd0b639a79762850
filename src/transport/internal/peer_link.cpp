#include "transport/internal/peer_link.hpp"

#include "transport/internal/stream_key.hpp"

#include <boost/asio/post.hpp>

#include <charconv>

namespace cornelloom::transport::internal {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// A live host answers a ping within this, also across regions and under load.
constexpr std::chrono::seconds longest_silence{1};

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;

int parse_status(const std::string& text) {
    int status = 0;
    std::from_chars(text.data(), text.data() + text.size(), status);
    return status;
}

} // namespace

peer_link::peer_link(asio::io_context& loop, const endpoint& to, const peer_settings& settings)
    : loop_(loop), to_(to), settings_(settings), socket_(loop), timer_(loop) {}

void peer_link::start() {
    timer_.expires_after(settings_.connect_timeout);
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled && !self->key_) {
            self->end(true);
        }
    });
    const asio::ip::tcp::endpoint remote{asio::ip::make_address(to_.address), to_.port};
    socket_.async_connect(remote, [self = shared_from_this()](error_code failure) {
        if (failure) {
            self->over_ = true;
            self->timer_.cancel();
            self->fail_waiting(failure.message());
        } else if (!self->over_) {
            self->on_connected();
        }
    });
}

void peer_link::on_connected() {
    stream_hooks hooks;
    hooks.on_message = [weak = weak_from_this()](stream_message message) {
        if (const auto self = weak.lock()) {
            self->on_message(std::move(message));
        }
    };
    hooks.on_stream_failed = [weak = weak_from_this()](std::int32_t stream, bool refused) {
        const auto self = weak.lock();
        auto node = self ? self->calls_.extract(stream) : decltype(self->calls_)::node_type{};
        if (node.empty()) {
            return;
        }
        if (refused) {
            // Said by the protocol itself: the other side has not looked at the request.
            node.mapped()->complete(
                kernel::error{kernel::error_code::unavailable, "the stream was refused"});
            return;
        }
        node.mapped()->fail("the stream ended early");
    };
    // Keeps this object while the connection is open.
    hooks.on_closed = [self = shared_from_this()] { self->on_lost(); };
    connection_ = std::make_shared<stream_connection>(std::move(socket_), stream_role::client,
                                                      settings_, std::move(hooks));
    connection_->start();
    number_ = random_handshake();
    if (!connection_->send_request(std::string(handshake_path), "", number_)) {
        end(true);
    }
}

void peer_link::on_message(stream_message message) {
    if (!key_) {
        on_handshake(message);
        return;
    }
    auto node = calls_.extract(message.stream);
    if (node.empty()) {
        return;
    }
    const auto status = parse_status(message.head);
    const auto tag =
        message_tag(*key_, message_kind::reply, message.stream, message.head, message.body);
    if (equal_in_constant_time(tag, message.tag)) {
        node.mapped()->complete(peer_reply{status, std::move(message.body)});
    } else if (status == status_unauthorized) {
        node.mapped()->complete(
            kernel::error{kernel::error_code::unauthorized, to_string(to_) + ": another secret"});
    } else {
        node.mapped()->fail("the answer is not authentic");
    }
}

void peer_link::on_handshake(const stream_message& message) {
    if (parse_status(message.head) != status_ok || message.body.size() != handshake_bytes) {
        // Not from inside nghttp2.
        asio::post(loop_, [self = shared_from_this()] { self->end(true); });
        return;
    }
    key_ = connection_key(settings_.secret, number_, message.body);
    connection_->trust();
    timer_.cancel();
    for (const auto& call : std::exchange(waiting_, {})) {
        send(call);
    }
}

void peer_link::carry(std::shared_ptr<peer_call> call) {
    if (key_) {
        send(call);
    } else {
        waiting_.push_back(std::move(call));
    }
}

void peer_link::send(const std::shared_ptr<peer_call>& call) {
    if (!call->begin_sending()) {
        return;
    }
    const auto stream = connection_->next_stream();
    const auto tag = message_tag(*key_, message_kind::request, stream, call->path, call->body);
    call->stream = stream;
    calls_.emplace(stream, call);
    if (!connection_->send_request(call->path, tag, std::move(call->body))) {
        calls_.erase(stream);
        over_ = true;
        call->complete(kernel::error{kernel::error_code::unavailable, "the connection is ending"});
    }
}

void peer_link::give_up(const peer_call& call) {
    const auto found = calls_.find(call.stream);
    if (found == calls_.end() || found->second.get() != &call) {
        return;
    }
    calls_.erase(found);
    connection_->reset(call.stream);
    if (probing_ || over_) {
        return;
    }
    probing_ = true;
    connection_->ping();
    timer_.expires_after(longest_silence);
    timer_.async_wait(
        [weak = weak_from_this(), since = std::chrono::steady_clock::now()](error_code cancelled) {
            const auto self = weak.lock();
            if (!cancelled && self) {
                self->check_silence(since);
            }
        });
}

void peer_link::check_silence(std::chrono::steady_clock::time_point since) {
    probing_ = false;
    if (connection_->last_received() < since) {
        end(true);
    }
}

void peer_link::end(bool now) {
    over_ = true;
    if (!connection_) {
        error_code ignored;
        ignored = socket_.close(ignored);
        fail_waiting("no connection in time");
        return;
    }
    if (now) {
        connection_->close();
    } else {
        connection_->finish();
    }
}

void peer_link::on_lost() {
    over_ = true;
    timer_.cancel();
    fail_waiting("the connection was lost");
    for (const auto& [stream, call] : std::exchange(calls_, {})) {
        call->fail("the connection was lost");
    }
    // The hooks hold this object and the connection holds the hooks; let go once they are done.
    asio::post(loop_, [self = shared_from_this()] { self->connection_.reset(); });
}

void peer_link::fail_waiting(const std::string& why) {
    for (const auto& call : std::exchange(waiting_, {})) {
        call->fail(why);
    }
}

} // namespace cornelloom::transport::internal
