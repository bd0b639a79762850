#pragma once

#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <utility>

namespace cornelloom::loop {

/// Memory for the bodies of requests that are being read or served, of all connections of a
/// listener.
struct body_memory {
    std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t bytes = 0;
};

/// The part of a body memory that one request has, as long as it lives.
class body_share {
public:
    body_share() = default;

    explicit body_share(std::shared_ptr<body_memory> memory) : memory_(std::move(memory)) {}

    body_share(body_share&& other) noexcept
        : memory_(std::move(other.memory_)), bytes_(std::exchange(other.bytes_, 0)) {}

    body_share& operator=(body_share&& other) noexcept {
        std::swap(memory_, other.memory_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }

    body_share(const body_share&) = delete;
    body_share& operator=(const body_share&) = delete;

    ~body_share() {
        if (memory_) {
            memory_->bytes -= bytes_;
        }
    }

    /// Whether so many bytes would be granted now. A request that is alone gets what it needs, so
    /// that one larger than the whole memory is served at some time, and small ones are served
    /// beside it.
    [[nodiscard]] bool fits(std::size_t bytes) const {
        constexpr std::size_t small_body_bytes = 4096;
        const auto others = memory_ ? memory_->bytes - bytes_ : 0;
        return others == 0 || bytes <= small_body_bytes ||
               (others <= memory_->max_bytes && bytes <= memory_->max_bytes - others);
    }

    /// Grows to so many bytes; false if they don't fit.
    [[nodiscard]] bool grow(std::size_t bytes) {
        if (!fits(bytes)) {
            return false;
        }
        if (memory_) {
            memory_->bytes += bytes - bytes_;
            bytes_ = bytes;
        }
        return true;
    }

private:
    std::shared_ptr<body_memory> memory_;
    std::size_t bytes_ = 0;
};

/// A body of Beast that takes memory for what arrives, not for what the head announces. A lack of
/// memory is an error of the read: Beast reads inside functions that an exception must not leave.
struct received_body {
    struct value_type {
        std::string text;
        body_share share;
    };

    static std::uint64_t size(const value_type& body) { return body.text.size(); }

    class reader {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& body)
            : body_(&body) {}

        /// Refuses a body that has no room now before it is read.
        void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& ec) {
            announced_ = length ? static_cast<std::size_t>(*length) : max_length;
            ec = {};
            if (length && !body_->share.fits(announced_)) {
                ec = no_memory();
            }
        }

        template <class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence& buffers, boost::system::error_code& ec) {
            ec = make_room(boost::beast::buffer_bytes(buffers));
            if (ec) {
                return 0;
            }
            const auto before = body_->text.size();
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                body_->text.append(static_cast<const char*>(buffer.data()), buffer.size());
            }
            return body_->text.size() - before;
        }

        void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        static constexpr std::size_t max_length = std::numeric_limits<std::size_t>::max();

        static boost::system::error_code no_memory() {
            return make_error_code(boost::system::errc::not_enough_memory);
        }

        boost::system::error_code make_room(std::size_t more);

        value_type* body_;
        std::size_t announced_ = max_length;
    };
};

} // namespace cornelloom::loop
