#include "transport/http_server.hpp"

#include "kernel/run_guarded.hpp"
#include "transport/internal/http_session.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/system/system_error.hpp>

#include <stdexcept>
#include <thread>
#include <vector>

namespace cornelloom::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Parsing and copying only; the handlers have threads of their own.
constexpr int io_threads = 2;
/// Out of file descriptors, say: tried again after this.
constexpr std::chrono::milliseconds accept_pause{50};

} // namespace

struct http_server::state {
    state(const endpoint& listen, http_handler handler, const http_server_limits& limits)
        : context(std::move(handler), limits) {
        try {
            acceptor.open(tcp::endpoint(asio::ip::make_address(listen.address), 0).protocol());
            acceptor.set_option(tcp::acceptor::reuse_address(true));
            acceptor.bind({asio::ip::make_address(listen.address), listen.port});
            acceptor.listen();
        } catch (const boost::system::system_error& failure) {
            throw boost::system::system_error(failure.code(),
                                              "can't listen on " + to_string(listen));
        }
    }

    void accept() {
        acceptor.async_accept(asio::make_strand(loop), [this](error_code failure, tcp::socket s) {
            if (failure == asio::error::operation_aborted || !acceptor.is_open()) {
                return;
            }
            if (failure) {
                pause.expires_after(accept_pause);
                pause.async_wait([this](error_code) { accept(); });
                return;
            }
            kernel::run_guarded("connection", [&] { open(std::move(s)); });
            accept();
        });
    }

    void open(tcp::socket socket) {
        const bool full = context.session_count.load() >= context.limits.max_connections;
        const auto session = std::make_shared<internal::http_session>(std::move(socket), context);
        if (full) {
            session->refuse_connection({429, "not-run", "queue_full", "too many open connections"});
            return;
        }
        session->start();
    }

    /// Takes the connections that already stand in the backlog: their requests may have been sent.
    void stop_accepting() {
        error_code failure;
        failure = acceptor.non_blocking(true, failure);
        while (!failure) {
            tcp::socket socket(asio::make_strand(loop));
            failure = acceptor.accept(socket, failure);
            if (!failure) {
                open(std::move(socket));
            }
        }
        failure = acceptor.close(failure);
        const std::lock_guard lock(context.mutex);
        for (auto* known : context.sessions) {
            known->stop();
        }
    }

    asio::io_context loop{io_threads};
    asio::executor_work_guard<asio::io_context::executor_type> work{loop.get_executor()};
    tcp::acceptor acceptor{asio::make_strand(loop)};
    asio::steady_timer pause{acceptor.get_executor()};
    internal::session_context context;
    std::vector<std::thread> threads;
};

http_server::http_server(const endpoint& listen, http_handler handler,
                         const http_server_limits& limits)
    : state_(std::make_unique<state>(listen, std::move(handler), limits)) {
    asio::post(state_->acceptor.get_executor(), [s = state_.get()] { s->accept(); });
    for (int i = 0; i < io_threads; ++i) {
        state_->threads.emplace_back([s = state_.get()] {
            while (!kernel::run_guarded("http server", [s] { s->loop.run(); })) {
            }
        });
    }
}

http_server::~http_server() {
    state_->context.stopping = true;
    asio::post(state_->acceptor.get_executor(), [s = state_.get()] {
        s->stop_accepting();
        s->work.reset();
    });
    // The loops end with the last session, since each has an operation or a job pending.
    for (auto& thread : state_->threads) {
        thread.join();
    }
}

std::uint16_t http_server::port() const {
    return state_->acceptor.local_endpoint().port();
}

} // namespace cornelloom::transport
