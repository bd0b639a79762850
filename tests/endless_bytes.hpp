#pragma once

#include <cstddef>
#include <string>

/// Bytes without end, for tests of servers and clients that must bound them.
namespace cornelloom::tests {

inline constexpr std::size_t kibibyte = 1024;
inline constexpr std::size_t mebibyte = 1024 * kibibyte;
/// What a sender gets rid of beyond what the receiver keeps: buffers of the kernel on both sides.
inline constexpr std::size_t kernel_buffers = 8 * mebibyte;

/// Bytes that follow each other until the receiver closes the connection.
struct endless_bytes {
    std::string start;
    std::string repeated;
};

/// `repeated` as often as one write should have it.
inline std::string make_block(const endless_bytes& bytes) {
    std::string block = bytes.repeated;
    while (block.size() < 16 * kibibyte) {
        block += bytes.repeated;
    }
    return block;
}

inline const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string chunked_request =
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string letters(kibibyte, 'a');

} // namespace cornelloom::tests
