#include "transport/transport.hpp"

#include "tests/transport/raw_socket.hpp"

#include <boost/asio/ssl.hpp>
#include <catch2/catch.hpp>

using namespace cornelloom::transport;
namespace ssl = boost::asio::ssl;

namespace {

const std::string data = CORNELLOOM_SOURCE_DIR "/tests/transport/data/";

http_server_limits with_tls() {
    http_server_limits limits;
    limits.tls_certificate_file = data + "tls_certificate.pem";
    limits.tls_key_file = data + "tls_key.pem";
    return limits;
}

} // namespace

TEST_CASE("A server with a certificate answers over TLS", "[transport][server][tls]") {
    const http_server server(
        {"127.0.0.1", 0},
        [](const http_request& request) { return http_response{200, {}, request.body + "!"}; },
        with_tls());
    ssl::context trust(ssl::context::tls_client);
    trust.load_verify_file(data + "tls_certificate.pem");
    boost::asio::io_context context;
    ssl::stream<raw::tcp::socket> caller(context, trust);
    caller.set_verify_mode(ssl::verify_peer);
    caller.next_layer().connect({boost::asio::ip::make_address("127.0.0.1"), server.port()});
    caller.handshake(ssl::stream_base::client);
    const std::string body(100000, 'x');
    boost::asio::write(caller, boost::asio::buffer("POST / HTTP/1.1\r\nConnection: close\r\n"
                                                   "Content-Length: 100000\r\n\r\n" +
                                                   body));
    std::string reply;
    boost::system::error_code end;
    boost::asio::read(caller, boost::asio::dynamic_buffer(reply), end);
    CHECK(reply.starts_with("HTTP/1.1 200 "));
    CHECK(reply.ends_with("\r\n\r\n" + body + "!"));

    // A caller without TLS reaches no handler, and the server goes on.
    raw::connection plain(server.port());
    plain.send("GET / HTTP/1.1\r\n\r\n");
    CHECK(plain.read_all().find("HTTP/1.1") == std::string::npos);
}

TEST_CASE("A server whose certificate can't be read does not start", "[transport][server][tls]") {
    auto limits = with_tls();
    limits.tls_key_file = data + "missing.pem";
    const auto start = [&] {
        const http_server server(
            {"127.0.0.1", 0}, [](const http_request&) { return http_response{}; }, limits);
    };
    CHECK_THROWS_AS(start(), std::runtime_error);
}
