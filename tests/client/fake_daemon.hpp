#pragma once

#include "client/client.hpp"

#include <deque>

namespace cornelloom::client::testing {

struct seen_request {
    transport::endpoint to;
    transport::http_request request;
    kernel::time_point at;
};

/// Plays the daemons of a client: answers in the order given, and keeps what was sent.
struct fake_daemons {
    kernel::runtime_clock clock{kernel::runtime_clock::mode::paused};
    std::deque<kernel::result<transport::http_response>> answers;
    std::vector<seen_request> seen;

    void answer(int status, std::string body, std::vector<transport::http_header> headers = {}) {
        answers.emplace_back(transport::http_response{status, std::move(headers), std::move(body)});
    }

    void fail(kernel::error_code code) { answers.emplace_back(kernel::error{code, "played"}); }

    [[nodiscard]] client_options options(std::size_t daemon_count = 1) {
        client_options made;
        for (std::size_t i = 0; i < daemon_count; ++i) {
            made.daemons.push_back({"127.0.0.1", static_cast<std::uint16_t>(8000 + i)});
        }
        made.token = "secret";
        made.seed = 7;
        made.clock = &clock;
        made.wait = [this](kernel::duration time) { clock.advance(time); };
        made.send = [this](const auto& to, const auto& request,
                           const auto&) -> kernel::result<transport::http_response> {
            seen.push_back({to, request, clock.now()});
            clock.advance(std::chrono::milliseconds{1});
            if (answers.empty()) {
                return kernel::error{kernel::error_code::unavailable, "nothing left to play"};
            }
            auto next = std::move(answers.front());
            answers.pop_front();
            return next;
        };
        return made;
    }
};

inline std::string refusal_json(std::string_view state, std::string_view reason,
                                int retry_after_ms) {
    return R"({"state":")" + std::string(state) + R"(","reason":")" + std::string(reason) +
           R"(","detail":"played","retry_after_ms":)" + std::to_string(retry_after_ms) + "}";
}

} // namespace cornelloom::client::testing
