#include "transport/http_server.hpp"

#include "transport/internal/http_guard.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/status.hpp>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <stdexcept>
#include <thread>

namespace cornelloom::transport {

namespace {

constexpr int internal_server_error = 500;
constexpr int port_tries = 20;

class refused_request : public std::runtime_error {
public:
    explicit refused_request(internal::guard_refusal refusal)
        : std::runtime_error(refusal.detail), why(std::move(refusal)) {}

    internal::guard_refusal why;
};

void set_status(cxxtools::http::Reply& reply, int status) {
    const auto text = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    reply.httpReturn(static_cast<unsigned>(status), std::string(text));
}

http_request to_request(const cxxtools::http::Request& raw) {
    http_request request;
    request.method = raw.method();
    request.path = raw.url();
    request.query = raw.qparams();
    for (const auto& [name, value] : raw.header()) {
        request.headers.push_back({name, value});
    }
    request.body = raw.bodyStr();
    return request;
}

class guarded_responder : public cxxtools::http::Responder {
public:
    guarded_responder(cxxtools::http::Service& service, const http_handler& handler,
                      const http_server_limits& limits)
        : Responder(service), handler_(handler), limits_(limits) {}

    void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                      cxxtools::http::Request& request) override {
        if (auto refusal = internal::check_header(request.header(), limits_.max_body_bytes)) {
            throw refused_request(std::move(*refusal));
        }
        Responder::beginRequest(socket, in, request);
    }

    void reply(std::ostream& out, cxxtools::http::Request& raw,
               cxxtools::http::Reply& reply) override {
        const auto response = handler_(to_request(raw));
        set_status(reply, response.status);
        for (const auto& header : response.headers) {
            reply.addHeader(header.name.c_str(), header.value.c_str());
        }
        out << response.body;
    }

    void replyError(std::ostream& out, cxxtools::http::Request& /*raw*/,
                    cxxtools::http::Reply& reply, const std::exception& failure) override {
        internal::guard_refusal why{internal_server_error, "internal", "the handler failed"};
        if (const auto* refused = dynamic_cast<const refused_request*>(&failure)) {
            why = refused->why;
        }
        reply.clear();
        set_status(reply, why.status);
        reply.setHeader("Content-Type", "application/json");
        reply.setHeader("Connection", "close");
        out << internal::refusal_body(why);
    }

private:
    const http_handler& handler_;
    const http_server_limits& limits_;
};

class guarded_service : public cxxtools::http::Service {
public:
    guarded_service(http_handler handler, const http_server_limits& limits)
        : handler_(std::move(handler)), limits_(limits) {}

protected:
    cxxtools::http::Responder* createResponder(const cxxtools::http::Request& /*raw*/) override {
        return new guarded_responder(*this, handler_, limits_);
    }

    void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

private:
    http_handler handler_;
    http_server_limits limits_;
};

/// The library can't tell which port it was given for port 0, so a free one is taken and released
/// just before. Another process may be faster: then the listening fails and the next is tried.
std::uint16_t free_port(const std::string& address) {
    boost::asio::io_context context;
    using boost::asio::ip::tcp;
    const tcp::acceptor acceptor(context, {boost::asio::ip::make_address(address), 0}, false);
    return acceptor.local_endpoint().port();
}

} // namespace

struct http_server::state {
    state(http_handler handler, const http_server_limits& limits)
        : service(std::move(handler), limits), server(loop) {
        const auto read_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(limits.read_timeout);
        server.readTimeout(cxxtools::Milliseconds(static_cast<double>(read_ms.count())));
        server.maxThreads(limits.max_threads);
        server.addService(cxxtools::Regex(".*"), service);
    }

    void listen(const endpoint& where) {
        for (int tries = 1;; ++tries) {
            try {
                port = where.port != 0 ? where.port : free_port(where.address);
                server.listen(where.address, port);
                return;
            } catch (const std::exception& failure) {
                if (where.port != 0 || tries == port_tries) {
                    throw std::runtime_error("can't listen on " + to_string(where) + ": " +
                                             failure.what());
                }
            }
        }
    }

    cxxtools::EventLoop loop;
    guarded_service service;
    cxxtools::http::Server server;
    std::uint16_t port = 0;
    std::thread runner;
};

http_server::http_server(const endpoint& listen, http_handler handler,
                         const http_server_limits& limits)
    : state_(std::make_unique<state>(std::move(handler), limits)) {
    state_->listen(listen);
    state_->runner = std::thread([this] { state_->loop.run(); });
}

http_server::~http_server() {
    state_->loop.exit();
    state_->runner.join();
}

std::uint16_t http_server::port() const {
    return state_->port;
}

} // namespace cornelloom::transport
