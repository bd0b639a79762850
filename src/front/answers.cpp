#include "front/answers.hpp"

#include <array>

namespace cornelloom::front {

namespace {

void count_refusal(host& self, std::string_view reason, std::string_view state) {
    const std::array labels{kernel::label{"reason", reason}, kernel::label{"state", state}};
    self.metrics.count("cornelloom_refusals_total", labels);
}

} // namespace

loop::task<void> answer_status(loop::served_request& request, int status) {
    transport::http_response answer{status, {}, {}};
    co_await request.answer(std::move(answer));
}

loop::task<void> refuse(host& self, loop::served_request& request, std::string_view id,
                        std::string_view reason, milliseconds retry_delay) {
    constexpr int status = 503;
    count_refusal(self, reason, "not_run");
    log_event(self, request_refused, {{"id", id}, {"why", reason}, {"status", status}});
    transport::http_response answer{status, {self.platform_adapter.retry_after(retry_delay)}, {}};
    co_await request.answer(std::move(answer));
}

loop::task<void> fail(host& self, loop::served_request& request, std::string_view id,
                      std::string_view reason, bool deadline_passed) {
    const int status = deadline_passed ? 504 : 502;
    count_refusal(self, reason, "unknown");
    log_event(self, request_failed, {{"id", id}, {"why", reason}, {"status", status}});
    co_await answer_status(request, status);
}

loop::task<void> reject(host& self, loop::served_request& request, std::string_view id,
                        std::string_view reason, int status) {
    count_refusal(self, reason, "not_run");
    log_event(self, request_refused, {{"id", id}, {"why", reason}, {"status", status}});
    co_await answer_status(request, status);
}

} // namespace cornelloom::front
