#include "transport/internal/stream_connection.hpp"

#include "transport/internal/stream_key.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <stdexcept>

namespace cornelloom::transport::internal {

using boost::system::error_code;

namespace {

/// What a sender may have under way before the receiver has taken it; a body of several MB crosses
/// a link of 40 ms round trip in few round trips.
constexpr std::int32_t stream_window = 1 << 20;
constexpr std::int32_t connection_window = 8 << 20;
constexpr std::uint32_t max_header_list = 16U << 10U;
constexpr std::size_t output_piece = 256U << 10U;

nghttp2_nv header(std::string_view name, std::string_view value) {
    // nghttp2 copies both; its C interface only lacks the const.
    const auto bytes = [](std::string_view text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

/// The functions that nghttp2 calls; `user` is the connection.
struct stream_connection::callbacks {
    static stream_connection& self(void* user) { return *static_cast<stream_connection*>(user); }

    static int on_begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        auto& incoming = self(user).streams_[frame->hd.stream_id].incoming;
        incoming.stream = frame->hd.stream_id;
        return 0;
    }

    static int on_header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                         std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                         std::uint8_t, void* user) {
        const std::string_view key{reinterpret_cast<const char*>(name), name_size};
        const std::string_view text{reinterpret_cast<const char*>(value), value_size};
        auto& incoming = self(user).streams_[frame->hd.stream_id].incoming;
        if (key == ":path" || key == ":status") {
            incoming.head = text;
        } else if (key == "tag") {
            incoming.tag = text;
        }
        return 0;
    }

    static int on_data(nghttp2_session* session, std::uint8_t, std::int32_t id,
                       const std::uint8_t* data, std::size_t size, void* user) {
        auto& connection = self(user);
        auto& body = connection.streams_[id].incoming.body;
        const auto allowed =
            connection.trusted_ ? connection.settings_.max_body_bytes : handshake_bytes;
        const bool over =
            body.size() + size > allowed ||
            connection.buffered_bytes_ + size > connection.settings_.max_buffered_bytes;
        if (over) {
            return nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id,
                                             NGHTTP2_ENHANCE_YOUR_CALM);
        }
        connection.buffered_bytes_ += size;
        body.append(reinterpret_cast<const char*>(data), size);
        return 0;
    }

    static int on_frame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
                          (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS);
        auto& connection = self(user);
        const auto found = connection.streams_.find(frame->hd.stream_id);
        if (!ends || found == connection.streams_.end()) {
            return 0;
        }
        found->second.whole = true;
        connection.buffered_bytes_ -= found->second.incoming.body.size();
        connection.hooks_.on_message(std::move(found->second.incoming));
        return 0;
    }

    static int on_close(nghttp2_session*, std::int32_t id, std::uint32_t error, void* user) {
        self(user).forget(id, error);
        return 0;
    }

    static ssize_t read_outgoing(nghttp2_session*, std::int32_t id, std::uint8_t* to,
                                 std::size_t room, std::uint32_t* flags, nghttp2_data_source*,
                                 void* user) {
        auto& stream = self(user).streams_[id];
        const auto size = std::min(room, stream.outgoing.size() - stream.sent);
        std::copy_n(stream.outgoing.data() + stream.sent, size, to);
        stream.sent += size;
        if (stream.sent == stream.outgoing.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(size);
    }
};

stream_connection::stream_connection(boost::asio::ip::tcp::socket socket, stream_role role,
                                     const peer_settings& settings, stream_hooks hooks)
    : socket_(std::move(socket)), role_(role), settings_(settings), hooks_(std::move(hooks)) {
    nghttp2_session_callbacks* table = nullptr;
    nghttp2_session_callbacks_new(&table);
    nghttp2_session_callbacks_set_on_begin_headers_callback(table, callbacks::on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(table, callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, callbacks::on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(table, callbacks::on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(table, callbacks::on_close);
    const int failed = role == stream_role::client
                           ? nghttp2_session_client_new(&session_, table, this)
                           : nghttp2_session_server_new(&session_, table, this);
    nghttp2_session_callbacks_del(table);
    if (failed != 0) {
        throw std::runtime_error(nghttp2_strerror(failed));
    }
}

stream_connection::~stream_connection() {
    nghttp2_session_del(session_);
}

void stream_connection::start() {
    error_code ignored;
    ignored = socket_.set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
    const std::array settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, settings_.max_streams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, max_header_list},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
    // A server must not name the last one.
    const auto used = role_ == stream_role::client ? settings.size() : settings.size() - 1;
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), used);
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connection_window);
    flush();
    read();
}

std::int32_t stream_connection::next_stream() const {
    return static_cast<std::int32_t>(nghttp2_session_get_next_stream_id(session_));
}

bool stream_connection::send_request(const std::string& path, const std::string& tag,
                                     std::string body) {
    if (closed_ || nghttp2_session_check_request_allowed(session_) == 0) {
        return false;
    }
    const std::array headers{header(":method", "POST"), header(":scheme", "http"),
                             header(":authority", "peer"), header(":path", path),
                             header("tag", tag)};
    nghttp2_data_provider provider{};
    provider.read_callback = callbacks::read_outgoing;
    const auto id = nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(),
                                           &provider, nullptr);
    if (id < 0) {
        return false;
    }
    streams_[id].outgoing = std::move(body);
    flush();
    return true;
}

void stream_connection::send_reply(std::int32_t id, int status, const std::string& tag,
                                   std::string body) {
    const auto found = streams_.find(id);
    if (closed_ || found == streams_.end()) {
        return;
    }
    found->second.outgoing = std::move(body);
    const auto code = std::to_string(status);
    const std::array headers{header(":status", code), header("tag", tag)};
    nghttp2_data_provider provider{};
    provider.read_callback = callbacks::read_outgoing;
    nghttp2_submit_response(session_, id, headers.data(), headers.size(), &provider);
    flush();
}

void stream_connection::reset(std::int32_t id) {
    if (!closed_ && streams_.contains(id)) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        flush();
    }
}

void stream_connection::ping() {
    if (!closed_) {
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        flush();
    }
}

void stream_connection::finish() {
    if (closed_) {
        return;
    }
    const auto last = nghttp2_session_get_last_proc_stream_id(session_);
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
    flush();
}

void stream_connection::close() {
    if (closed_) {
        return;
    }
    closed_ = true;
    error_code ignored;
    ignored = socket_.close(ignored);
    const auto open = std::exchange(streams_, {});
    for (const auto& [id, ended] : open) {
        if (!ended.whole) {
            hooks_.on_stream_failed(id, false);
        }
    }
    hooks_.on_closed();
}

void stream_connection::read() {
    socket_.async_read_some(boost::asio::buffer(input_), [self = shared_from_this()](
                                                             error_code failure, std::size_t size) {
        if (failure || self->closed_) {
            self->close();
            return;
        }
        self->last_received_ = std::chrono::steady_clock::now();
        self->receiving_ = true;
        const auto taken = nghttp2_session_mem_recv(self->session_, self->input_.data(), size);
        self->receiving_ = false;
        if (taken < 0) {
            self->close();
            return;
        }
        self->flush();
        if (!self->closed_) {
            self->read();
        }
    });
}

bool stream_connection::collect_output() {
    output_.clear();
    while (output_.size() < output_piece) {
        const std::uint8_t* data = nullptr;
        const auto size = nghttp2_session_mem_send(session_, &data);
        if (size < 0) {
            return false;
        }
        if (size == 0) {
            break;
        }
        output_.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
    }
    return true;
}

void stream_connection::flush() {
    if (writing_ || receiving_ || closed_) {
        return;
    }
    // Set first: nghttp2 calls hooks while it collects, and those may flush.
    writing_ = true;
    const bool collected = collect_output();
    if (!collected || (output_.empty() && nghttp2_session_want_read(session_) == 0)) {
        writing_ = false;
        close();
        return;
    }
    if (output_.empty()) {
        writing_ = false;
        return;
    }
    boost::asio::async_write(socket_, boost::asio::buffer(output_),
                             [self = shared_from_this()](error_code failure, std::size_t) {
                                 self->writing_ = false;
                                 if (failure) {
                                     self->close();
                                     return;
                                 }
                                 self->flush();
                             });
}

void stream_connection::forget(std::int32_t id, std::uint32_t error) {
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        return;
    }
    const bool whole = found->second.whole;
    if (!whole) {
        buffered_bytes_ -= found->second.incoming.body.size();
    }
    streams_.erase(found);
    if (!whole) {
        hooks_.on_stream_failed(id, error == NGHTTP2_REFUSED_STREAM);
    }
}

} // namespace cornelloom::transport::internal
