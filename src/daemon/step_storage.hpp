#pragma once

#include "daemon/step_surroundings.hpp"

namespace cornelloom::daemon {

/// What the platform keeps of steps, so that another host can go on with them.
class step_storage {
public:
    explicit step_storage(const step_surroundings& parts) : parts_(parts) {}

    /// Writes the manifest in the background. Without it a step is lost only together with its
    /// owner, and then the trainer opens it again.
    void store(const rollout::step& open) const;

    /// Removes it in the background.
    void remove(const rollout::step& ended) const;

    /// The step as its next owner starts it, in state `collecting`; nothing when there is none.
    [[nodiscard]] std::optional<rollout::step> load(const rollout::step_key& key,
                                                    const rollout::pool_rules& rules,
                                                    std::uint64_t fence,
                                                    std::span<const kernel::host_id> to_ask) const;

    /// The same from the trainer's request, for a step that an earlier owner may have had.
    [[nodiscard]] kernel::result<rollout::step>
    reopen(const rollout::step& fresh, std::span<const kernel::host_id> to_ask) const;

private:
    [[nodiscard]] std::optional<std::string> read(const char* kind, const std::string& name) const;

    step_surroundings parts_;
};

} // namespace cornelloom::daemon
