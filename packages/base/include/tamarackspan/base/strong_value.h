#pragma once

#include <compare>
#include <string>
#include <utility>

namespace tamarackspan::base {

/// A value of type T with a distinct type for each Tag, so that values of different meaning can't be mixed up. Immutable except for assignment as a whole;
/// ordered and hashed as T.
template<typename Tag, typename T>
class StrongValue
{
public:
    StrongValue() = default;

    /// Wraps the value without checking it.
    explicit StrongValue(T value) noexcept
        : value(std::move(value))
    {
    }

    /// Returns the wrapped value; it lives as long as this object.
    [[nodiscard]] auto get() const noexcept -> const T &
    {
        return this->value;
    }

    friend auto operator==(const StrongValue &, const StrongValue &) -> bool = default;
    friend auto operator<=>(const StrongValue &, const StrongValue &) = default;

    /// Makes the value usable as a key of Abseil's hash containers.
    template<typename H>
    friend auto AbslHashValue(H state, const StrongValue &value) -> H
    {
        return H::combine(std::move(state), value.value);
    }

private:
    T value{};
};

} // namespace tamarackspan::base
