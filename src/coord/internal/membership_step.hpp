#pragma once

/// One step of membership: probing, answering, spreading.

#include "coord/internal/membership_wire.hpp"
#include "coord/membership.hpp"

#include <span>

namespace cornelloom::coord::internal {

class membership_machine {
public:
    membership_machine(membership& state, membership_effects& out, kernel::time_point now)
        : state_(state), out_(out), now_(now) {}

    void step(const membership_event& event);

private:
    void on(const membership_tick& event);
    void on(const datagram_received& event);
    void on(const seeds_heard& event);
    void on(const leaving_announced& event);
    void on(const departure& event);
    void on(const configuration_in_force& event);
    void on(const item_published& event);

    void on_message(const message& in, const std::string& from);
    void on_ping(const message& in, const std::string& from);
    void on_ack(const message& in);
    void on_ping_request(const message& in);
    void note_sender(const message_header& header, const std::string& from);

    void notice_pause();
    void run_probe();
    void start_probe();
    void draw_probe_order();
    void ask_others(const running_probe& probe);
    void probe_dead();
    void join();
    void spread();
    void compare();
    void send_table(const std::string& to, bool wanted);

    [[nodiscard]] message_header header(message_kind kind) const;
    /// `to_host` may be empty when it is not known who answers there.
    void send(message_writer& writer, const std::string& to, const kernel::host_id& to_host);
    void emit(const std::string& to, std::string bytes);
    void send(const message_header& what, const std::string& to, const kernel::host_id& to_host);
    bool add_delta(message_writer& writer, const queued_delta& queued);
    void add_news(message_writer& writer);
    void add_accusation(message_writer& writer, const kernel::host_id& to_host);
    [[nodiscard]] unsigned sends_of_a_delta() const;
    [[nodiscard]] std::vector<const member*> pick(std::size_t count, const kernel::host_id& except);
    [[nodiscard]] std::size_t draw(std::size_t below);
    [[nodiscard]] kernel::duration slowed(kernel::duration span) const;

    membership& state_;
    membership_effects& out_;
    kernel::time_point now_;
};

} // namespace cornelloom::coord::internal
