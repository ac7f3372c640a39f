/// \file
/// Defines a map of bounded size for cached values.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace eelgrassdoor {

/// Maps names to cached values. Inserting a new name into a full map clears the map first, so the
/// owner has to look up the dropped values again. Not thread-safe.
template <typename Value> class bounded_map {
public:
    /// \param max_entries the number of names kept at most; must be positive.
    explicit bounded_map(std::size_t max_entries) : m_max_entries(max_entries) {}

    /// Returns the value of \p name, or null when there is none. The pointer is valid until the
    /// next insertion or removal.
    [[nodiscard]] const Value* find(std::string_view name) const {
        const auto found = m_values.find(name);
        return found == m_values.end() ? nullptr : &found->second;
    }
    [[nodiscard]] Value* find(std::string_view name) {
        const auto found = m_values.find(name);
        return found == m_values.end() ? nullptr : &found->second;
    }
    /// Returns the value of \p name, and inserts a default-constructed one when there is none. The
    /// reference is valid until the next insertion or removal.
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
