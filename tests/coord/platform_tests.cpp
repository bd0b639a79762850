#include "coord/coord.hpp"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace cornelloom;
using namespace cornelloom::coord;
using namespace std::chrono_literals;

TEST_CASE("Lease renewals pass when other calls have spent the rate", "[coord][platform]") {
    // Story: a burst of status writes spends the host's share of the platform's rate. If renewals
    // queued behind them, the host would lose its leases through its own traffic.
    const kernel::time_point start{};
    auto budget = make_budget({.calls_per_second = 10, .burst = 40}, start);
    const auto drain = [&](call_kind kind) {
        int sent = 0;
        while (admit(budget, kind, start).send) {
            ++sent;
        }
        return sent;
    };
    CHECK(drain(call_kind::status) == 20);
    CHECK(drain(call_kind::configuration_read) == 10);
    CHECK(drain(call_kind::claim_commit) == 6);
    CHECK(drain(call_kind::lease_renewal) == 4);
    const auto verdict = admit(budget, call_kind::claim_commit, start);
    CHECK(verdict.wait > 0s);
    CHECK(admit(budget, call_kind::claim_commit, start + verdict.wait + 1ms).send);
    const auto& counts = budget.counts[static_cast<std::size_t>(call_kind::claim_commit)];
    CHECK(counts.sent == 7);
    CHECK(counts.delayed == 2);
}

TEST_CASE("A throttled host keeps silent for the time it was told", "[coord][platform]") {
    const kernel::time_point start{};
    auto budget = make_budget({}, start);
    record_outcome(budget, call_kind::status, call_throttled{3s}, start);
    CHECK(admit(budget, call_kind::lease_renewal, start + 2s).wait == 1s);
    CHECK(admit(budget, call_kind::lease_renewal, start + 3s).send);
    CHECK(budget.counts[static_cast<std::size_t>(call_kind::status)].throttled == 1);
}

TEST_CASE("Backoff grows to a bound and differs between hosts", "[coord][platform]") {
    const backoff_settings settings{100ms, 10s};
    CHECK(backoff(settings, 1, 7) <= 200ms);
    CHECK(backoff(settings, 1, 7) >= 100ms);
    CHECK(backoff(settings, 60, 7) <= 10s);
    CHECK(backoff(settings, 60, 7) >= 5s);
    CHECK(backoff(settings, 5, 7) == backoff(settings, 5, 7));
    CHECK(backoff(settings, 5, 7) != backoff(settings, 5, 8));
}

TEST_CASE("The page's table of platform trouble says what the code says", "[coord][platform]") {
    std::ifstream page(std::string(CORNELLOOM_SOURCE_DIR) + "/docs/COORDINATION.md");
    const std::string text{std::istreambuf_iterator<char>(page), {}};
    for (std::size_t service = 0; service < service_kind_count; ++service) {
        const auto wanted = static_cast<service_kind>(service);
        std::ostringstream row;
        row << "| " << to_string(wanted) << " |";
        for (std::size_t at = 1; at < platform_condition_count; ++at) {
            row << ' ' << to_string(served_during(static_cast<platform_condition>(at), wanted))
                << " |";
        }
        CAPTURE(row.str());
        CHECK(text.find(row.str()) != std::string::npos);
    }
}
