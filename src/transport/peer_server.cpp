#include "kernel/run_guarded.hpp"
#include "transport/internal/stream_connection.hpp"
#include "transport/internal/stream_key.hpp"
#include "transport/internal/worker_pool.hpp"
#include "transport/peer_stream.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/system_error.hpp>

#include <optional>
#include <set>
#include <stdexcept>
#include <thread>

namespace cornelloom::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using internal::message_kind;
using internal::stream_connection;
using internal::stream_message;

namespace {

constexpr std::chrono::milliseconds accept_pause{50};
constexpr std::chrono::seconds longest_farewell{5};

/// A connection with what its handshake agreed on.
struct client_link {
    std::shared_ptr<stream_connection> connection;
    std::optional<derived_key> key;
};

using link = std::shared_ptr<client_link>;

void reply(const link& to, std::int32_t stream, const peer_reply& answer) {
    if (!to->connection) {
        return;
    }
    const auto status = std::to_string(answer.status);
    const auto tag =
        to->key ? internal::message_tag(*to->key, message_kind::reply, stream, status, answer.body)
                : std::string{};
    to->connection->send_reply(stream, answer.status, tag, answer.body);
}

} // namespace

struct peer_server::state {
    state(const endpoint& listen, const peer_settings& wanted, peer_handler answer)
        : settings(wanted), handler(std::move(answer)), workers(wanted.max_threads) {
        try {
            const tcp::endpoint local{asio::ip::make_address(listen.address), listen.port};
            acceptor.open(local.protocol());
            acceptor.set_option(tcp::acceptor::reuse_address(true));
            acceptor.bind(local);
            acceptor.listen();
        } catch (const boost::system::system_error& failure) {
            throw boost::system::system_error(failure.code(),
                                              "can't listen on " + to_string(listen));
        }
    }

    void accept() {
        acceptor.async_accept([this](error_code failure, tcp::socket socket) {
            if (!acceptor.is_open()) {
                return;
            }
            if (failure) {
                pause.expires_after(accept_pause);
                pause.async_wait([this](error_code) {
                    if (acceptor.is_open()) {
                        accept();
                    }
                });
                return;
            }
            kernel::run_guarded("peer connection", [&] { open(std::move(socket)); });
            accept();
        });
    }

    void open(tcp::socket socket) {
        auto opened = std::make_shared<client_link>();
        const std::weak_ptr<client_link> weak = opened;
        internal::stream_hooks hooks;
        hooks.on_message = [this, weak](stream_message message) {
            if (const auto known = weak.lock()) {
                take(known, std::move(message));
            }
        };
        hooks.on_stream_failed = [](std::int32_t, bool) {};
        hooks.on_closed = [this, weak] {
            if (const auto known = weak.lock()) {
                links.erase(known);
                // Let go later: the connection itself is the one that calls.
                asio::post(loop, [gone = std::exchange(known->connection, nullptr)] {});
                end_when_empty();
            }
        };
        opened->connection = std::make_shared<stream_connection>(
            std::move(socket), internal::stream_role::server, settings, std::move(hooks));
        links.insert(opened);
        opened->connection->start();
    }

    void take(const link& from, stream_message message) {
        if (message.head == internal::handshake_path) {
            shake_hands(from, message);
            return;
        }
        const auto tag = from->key
                             ? internal::message_tag(*from->key, message_kind::request,
                                                     message.stream, message.head, message.body)
                             : std::string{};
        if (!from->key || !equal_in_constant_time(tag, message.tag)) {
            reply(from, message.stream, {401, "not authentic"});
            return;
        }
        run(from, std::move(message));
    }

    void shake_hands(const link& from, const stream_message& message) const {
        // Once only: a second one would make old messages valid under a chosen key.
        if (from->key || message.body.size() != internal::handshake_bytes) {
            reply(from, message.stream, {400, "handshake"});
            return;
        }
        const auto number = internal::random_handshake();
        reply(from, message.stream, {200, number});
        from->key = internal::connection_key(settings.secret, message.body, number);
        from->connection->trust();
    }

    void run(const link& from, stream_message message) {
        auto request = std::make_shared<stream_message>(std::move(message));
        auto guard = asio::make_work_guard(loop);
        const bool started = workers.try_run([this, from, request, guard = std::move(guard)] {
            peer_reply answer;
            try {
                answer = handler(request->head, request->body);
            } catch (const std::exception& failure) {
                answer = {500, failure.what()};
            }
            asio::post(loop, [from, answer = std::move(answer), id = request->stream] {
                reply(from, id, answer);
            });
        });
        if (!started) {
            reply(from, request->stream, {503, "all threads are busy"});
        }
    }

    void stop() {
        error_code ignored;
        ignored = acceptor.close(ignored);
        pause.cancel();
        stopping = true;
        // Each closes once its open streams have been answered.
        const auto open = links;
        for (const auto& known : open) {
            known->connection->finish();
        }
        // A peer that is gone must not hold up the end.
        pause.expires_after(longest_farewell);
        pause.async_wait([this](error_code) { close_all(); });
        end_when_empty();
    }

    void close_all() {
        const auto open = links;
        for (const auto& known : open) {
            known->connection->close();
        }
    }

    void end_when_empty() {
        if (stopping && links.empty()) {
            pause.cancel();
            work.reset();
        }
    }

    peer_settings settings;
    peer_handler handler;
    asio::io_context loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{loop.get_executor()};
    tcp::acceptor acceptor{loop};
    asio::steady_timer pause{loop};
    std::set<link> links;  ///< Used by the loop's thread.
    bool stopping = false; ///< Used by the loop's thread.
    internal::worker_pool workers;
    std::thread runner;
};

peer_server::peer_server(const endpoint& listen, const peer_settings& settings,
                         peer_handler handler)
    : state_(std::make_unique<state>(listen, settings, std::move(handler))) {
    state_->accept();
    state_->runner = std::thread([s = state_.get()] {
        while (!kernel::run_guarded("peer server", [s] { s->loop.run(); })) {
        }
    });
}

peer_server::~peer_server() {
    asio::post(state_->loop, [s = state_.get()] { s->stop(); });
    state_->runner.join();
}

std::uint16_t peer_server::port() const {
    return state_->acceptor.local_endpoint().port();
}

} // namespace cornelloom::transport
