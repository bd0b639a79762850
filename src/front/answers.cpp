#include "front/answers.hpp"

#include <array>

namespace cornelloom::front {

namespace {

/// Bytes of a caller's text in a log line.
constexpr std::size_t max_logged_detail = 300;

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

loop::task<void> refuse_quarantined(host& self, loop::served_request& request, std::string_view id,
                                    const quarantine_verdict& verdict) {
    constexpr int status = 503;
    count_refusal(self, quarantined_reason, "not_run");
    log_event(self, request_refused,
              {{"id", id},
               {"why", quarantined_reason},
               {"status", status},
               {"retry_ms", verdict.retry_delay.count()}});
    const nlohmann::json body = {
        {"state", "not_run"},
        {"reason", quarantined_reason},
        {"detail", std::to_string(verdict.crashed_targets) +
                       " targets crashed while they ran this request; it is not sent to any until "
                       "the retry delay has passed"}};
    transport::http_response answer{status,
                                    {self.platform_adapter.retry_after(verdict.retry_delay),
                                     {"Content-Type", "application/json"}},
                                    body.dump()};
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
                        std::string_view reason, int status, std::string_view detail) {
    count_refusal(self, reason, "not_run");
    log_event(self, request_refused,
              {{"id", id},
               {"why", reason},
               {"status", status},
               {"detail", detail.substr(0, max_logged_detail)}});
    co_await answer_status(request, status);
}

} // namespace cornelloom::front
