#include "answer_cutter.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace cornelloom::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Between the last byte and the end of the connection, so that a reset does not overtake it.
constexpr loop::milliseconds pause_before_end{2};

/// A connection of a client, and the one to the server.
struct relay {
    relay(loop::io_context& loop, loop::tcp::socket accepted)
        : io(&loop), client(std::move(accepted)), server(loop) {}

    loop::io_context* io;
    loop::tcp::socket client;
    loop::tcp::socket server;
    int requests = 0;
    std::size_t answer_bytes = 0;         ///< Of the current answer, passed on.
    std::optional<answer_cut> next_cut{}; ///< Of the current answer.
};

using relay_ptr = std::shared_ptr<relay>;

void end_relay(relay& both, cut_form form) {
    boost::system::error_code ignored; // the other side may have closed already
    if (form == cut_form::resets) {
        ignored = both.client.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    ignored = both.client.close(ignored);
    ignored = both.server.close(ignored);
}

void begin_answer(relay& one, answer_cuts& cuts, std::string_view path) {
    ++one.requests;
    one.answer_bytes = 0;
    one.next_cut.reset();
    const auto found = cuts.by_path.find(path);
    if (found != cuts.by_path.end() && found->second.answers > 0) {
        --found->second.answers;
        one.next_cut = found->second;
    }
}

loop::task<void> pass_requests(relay_ptr one, answer_cuts_ptr cuts) {
    boost::beast::flat_buffer buffer;
    for (;;) {
        http::request<http::string_body> message;
        boost::system::error_code failed;
        co_await http::async_read(one->client, buffer, message,
                                  asio::redirect_error(asio::use_awaitable, failed));
        if (!failed) {
            begin_answer(*one, *cuts, std::string(message.target()));
            co_await http::async_write(one->server, message,
                                       asio::redirect_error(asio::use_awaitable, failed));
        }
        if (failed) {
            end_relay(*one, cut_form::closes);
            co_return;
        }
    }
}

loop::task<void> pass_answers(relay_ptr one, answer_cuts_ptr cuts) {
    std::array<char, 16384> bytes{};
    for (;;) {
        boost::system::error_code failed;
        const auto count = co_await one->server.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failed));
        const auto room = one->next_cut ? one->next_cut->bytes_passed - one->answer_bytes : count;
        const bool cut = !failed && one->next_cut && count > room;
        if (!failed) {
            co_await asio::async_write(one->client,
                                       asio::buffer(bytes.data(), std::min(count, room)),
                                       asio::redirect_error(asio::use_awaitable, failed));
        }
        one->answer_bytes += std::min(count, room);
        if (cut) {
            ++(one->requests > 1 ? cuts->made_on_used : cuts->made_on_new);
            cuts->removed.append(bytes.data(), count);
            co_await loop::pause_for(*one->io, pause_before_end);
        }
        if (cut || failed) {
            end_relay(*one, cut ? one->next_cut->form : cut_form::closes);
            co_return;
        }
        cuts->longest_passed = std::max(cuts->longest_passed, one->answer_bytes);
    }
}

loop::task<void> serve(relay_ptr one, answer_cuts_ptr cuts, transport::endpoint server) {
    const loop::tcp::endpoint there(asio::ip::make_address(server.address), server.port);
    boost::system::error_code failed;
    co_await one->server.async_connect(there, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        end_relay(*one, cut_form::closes);
        co_return;
    }
    one->client.set_option(loop::tcp::no_delay(true));
    asio::co_spawn(*one->io, pass_requests(one, cuts), asio::detached);
    co_await pass_answers(one, cuts);
}

loop::task<void> accept_all(loop::io_context& io, loop::tcp::acceptor acceptor,
                            answer_cuts_ptr cuts, transport::endpoint server) {
    for (;;) {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        auto one = std::make_shared<relay>(io, std::move(socket));
        asio::co_spawn(io, serve(std::move(one), cuts, server), asio::detached);
    }
}

} // namespace

void start_cutting(loop::io_context& io, const answer_cuts_ptr& cuts,
                   const transport::endpoint& where, transport::endpoint server) {
    const loop::tcp::endpoint here(asio::ip::make_address(where.address), where.port);
    asio::co_spawn(io, accept_all(io, loop::tcp::acceptor(io, here), cuts, std::move(server)),
                   asio::detached);
}

} // namespace cornelloom::soak
