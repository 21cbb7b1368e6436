/// \file
/// The event loop and the registry through which services find each other by name.
#pragma once

#include "runtime/event_loop.hpp"

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <typeindex>

namespace bronzeplank {

/// Owns the event loop and a registry of services. A service must be registered before others look
/// it up and must outlive them. Usage: `kernel.add("keys", keys);` and later
/// `kernel.find<key_service>("keys")`.
class kernel {
public:
    event_loop& loop() { return m_loop; }

    /// Registers a service. \throws std::logic_error when the name is already registered.
    template <class Service>
    void add(std::string name, Service& service) {
        const entry added{&service, typeid(Service)};
        if (!m_services.emplace(name, added).second) {
            throw std::logic_error("a service named \"" + name + "\" is already registered");
        }
    }

    /// The service of that name. \throws std::logic_error when there is no such service of that
    /// type.
    template <class Service>
    Service& find(std::string_view name) const {
        const auto found = m_services.find(name);
        if (found == m_services.end() || found->second.type != typeid(Service)) {
            throw std::logic_error("no service of the requested type is named \"" +
                                   std::string(name) + "\"");
        }
        return *static_cast<Service*>(found->second.service);
    }

private:
    struct entry {
        void* service;
        std::type_index type;
    };

    event_loop m_loop;
    std::map<std::string, entry, std::less<>> m_services;
};

} // namespace bronzeplank
