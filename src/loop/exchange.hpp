#pragma once

#include "loop/connection_pool.hpp"
#include "loop/gate.hpp"
#include "loop/received_body.hpp"
#include "loop/task.hpp"
#include "transport/http.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::loop {

/// Why an exchange with a server ended without its whole answer.
enum class exchange_fault {
    none,
    not_connected,     ///< No connection, so nothing was sent.
    broken,            ///< The connection ended early: what was sent may have run.
    garbled,           ///< What came back is not an answer to this request.
    too_large,         ///< More came back than an answer may have, in its head, framing or body.
    no_memory,         ///< Other answers take all the memory for answers.
    timed_out,         ///< The deadline of the step passed.
    aborted,           ///< This side gave it up.
    malformed_request, ///< Its bytes could be read as another request; nothing was sent.
};

[[nodiscard]] std::string_view to_string(exchange_fault fault);

/// The write of a request that goes on while its answer is read.
struct request_write {
    enum class state { done, running, failed };

    explicit request_write(io_context& io) : ended(io) {}

    state progress = state::done;
    gate ended; ///< Opened when the write ends.
};

/// One request and its answer on one connection. At most one step runs at a time; `abort` may be
/// called at any moment and ends the running step.
class exchange {
public:
    exchange(connection_pool& pool, transport::endpoint server);
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange();

    /// Takes an idle connection if `reuse`, else opens one.
    task<exchange_fault> open(deadline until, bool reuse);

    /// Writes the request; a long body goes on in the background, for a server may answer first.
    task<exchange_fault> send(const transport::http_request& request, deadline until);

    /// Reads the head of the answer, passing over interim answers.
    task<exchange_fault> read_head(deadline until);

    /// The next bytes of the body; none once the body is complete. An answer that ends by a close
    /// is broken if the server did not take the whole request: it may have been reset.
    task<exchange_fault> read_piece(deadline until, std::string& piece);

    /// What is left of the body, at most `limit` bytes and what the pool's `answer_memory` allows.
    task<exchange_fault> read_rest(deadline until, std::string& body,
                                   std::size_t limit = std::numeric_limits<std::size_t>::max());

    /// Reserves memory of the pool for bytes of the answer that are kept, until the exchange ends.
    [[nodiscard]] exchange_fault reserve(std::size_t bytes);

    [[nodiscard]] int status() const;

    [[nodiscard]] const std::vector<transport::http_header>& headers() const { return headers_; }

    [[nodiscard]] bool complete() const;

    /// Whether only the end of the connection shows where the answer ends. A server that crashes
    /// ends its answer alike.
    [[nodiscard]] bool ended_by_close() const;

    /// Closes the connection: a server drops the request.
    void abort();

    /// Gives the connection back if it is in a clean state, else closes it.
    void finish();

private:
    task<exchange_fault> connect(deadline until, bool reuse);
    /// Whether the server took the whole request, for which a write in progress is awaited.
    task<bool> is_request_written(deadline until);
    void start_parser();
    exchange_fault note(exchange_fault fault);
    void release_memory();
    void close(opening_cause cause);
    [[nodiscard]] exchange_fault fault_of(const boost::system::error_code& ec) const;

    connection_pool* pool_;
    transport::endpoint server_;
    std::shared_ptr<server_connections> connections_;  ///< All connections to the server.
    std::shared_ptr<boost::beast::tcp_stream> stream_; ///< Shared with a write in the background.
    std::shared_ptr<request_write> write_;             ///< Of a long body.
    std::shared_ptr<answer_memory> memory_;            ///< Of the pool.
    std::size_t reserved_bytes_ = 0;                   ///< Of that memory.
    boost::beast::flat_buffer buffer_; ///< Bounded: a head or framing may come without end.
    std::optional<boost::beast::http::response_parser<received_body>> parser_;
    bool answer_has_body_ = true; ///< Unless to a HEAD request.
    std::vector<transport::http_header> headers_;
    bool aborted_ = false;
    bool connected_ = false;
    exchange_fault last_fault_ = exchange_fault::none;
};

/// A whole answer, or why there is none.
struct call_outcome {
    exchange_fault fault = exchange_fault::none;
    bool sent = false; ///< Some of the request may have reached the server.
    transport::http_response answer{};
};

/// The status of the whole answer; 0 if there is none.
[[nodiscard]] inline int status_of(const call_outcome& outcome) {
    return outcome.fault == exchange_fault::none ? outcome.answer.status : 0;
}

/// Which connection a call takes.
enum class connection_use {
    any,   ///< An idle one if there is one.
    fresh, ///< A new one: an idle connection may have gone silent, and a long wait would not show.
};

/// Sends one request and reads its whole answer. An answer without a length is not known to be
/// whole: it counts as broken, and tells that it `ends_with_connection`.
task<call_outcome> call(connection_pool& pool, transport::endpoint server,
                        transport::http_request request, deadline until, milliseconds connect_limit,
                        connection_use use = connection_use::any);

} // namespace cornelloom::loop
