#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::kernel {

/// Plug-ins of one kind by name. A plug-in registers itself with a namespace-scope
/// `registration<Plugin>`; `Plugin` is a plain struct, usually of function pointers.
template <class Plugin> class plugin_registry {
public:
    static plugin_registry& instance() {
        static plugin_registry the_registry;
        return the_registry;
    }

    void add(std::string_view name, Plugin plugin) {
        plugins_.insert_or_assign(std::string(name), std::move(plugin));
    }

    /// Null when no plug-in of that name is linked in.
    [[nodiscard]] const Plugin* find(std::string_view name) const {
        const auto it = plugins_.find(name);
        return it == plugins_.end() ? nullptr : &it->second;
    }

    [[nodiscard]] std::vector<std::string> names() const {
        std::vector<std::string> all;
        all.reserve(plugins_.size());
        for (const auto& [name, plugin] : plugins_) {
            all.push_back(name);
        }
        return all;
    }

private:
    std::map<std::string, Plugin, std::less<>> plugins_;
};

template <class Plugin> struct registration {
    registration(std::string_view name, Plugin plugin) {
        plugin_registry<Plugin>::instance().add(name, std::move(plugin));
    }
};

} // namespace cornelloom::kernel
