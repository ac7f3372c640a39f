/// \file
/// Defines a map of bounded size for what can be learnt again.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace eelgrassdoor {

/// Values by name. It is emptied when a new name finds it full: what is forgotten costs its owner
/// one more look.
template <typename Value> class bounded_map {
public:
    explicit bounded_map(std::size_t max_entries) : m_max_entries(max_entries) {}

    /// Null when the name is not known. Valid until the next change.
    [[nodiscard]] const Value* find(std::string_view name) const {
        const auto found = m_values.find(name);
        return found == m_values.end() ? nullptr : &found->second;
    }
    [[nodiscard]] Value* find(std::string_view name) {
        const auto found = m_values.find(name);
        return found == m_values.end() ? nullptr : &found->second;
    }
    /// The value of a name, made anew when it is not known. Valid until the next change.
    Value& find_or_create(std::string_view name) {
        if (Value* known = find(name)) {
            return *known;
        }
        if (m_values.size() >= m_max_entries) {
            m_values.clear();
        }
        return m_values[std::string(name)];
    }
    void erase(std::string_view name) {
        if (const auto found = m_values.find(name); found != m_values.end()) {
            m_values.erase(found);
        }
    }

private:
    std::size_t m_max_entries;
    std::map<std::string, Value, std::less<>> m_values;
};

} // namespace eelgrassdoor
