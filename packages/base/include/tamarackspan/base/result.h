#pragma once

#include <utility>
#include <variant>

namespace tamarackspan::base {

/// Either an answer of type T or an error of type E. Reading the one that isn't held is a broken invariant and throws std::bad_variant_access.
template<typename T, typename E>
class Result
{
public:
    /// Holds an answer.
    // NOLINTNEXTLINE(google-explicit-constructor): implicit, so that a function can return a plain answer.
    Result(T answer)
        : content(std::in_place_index<0>, std::move(answer))
    {
    }

    /// Holds an error.
    // NOLINTNEXTLINE(google-explicit-constructor): implicit, so that a function can return a plain error.
    Result(E error)
        : content(std::in_place_index<1>, std::move(error))
    {
    }

    /// True if an answer is held.
    [[nodiscard]] auto ok() const noexcept -> bool
    {
        return this->content.index() == 0;
    }

    /// Returns the answer.
    [[nodiscard]] auto value() const & -> const T &
    {
        return std::get<0>(this->content);
    }

    /// Moves the answer out.
    [[nodiscard]] auto value() && -> T &&
    {
        return std::get<0>(std::move(this->content));
    }

    /// Returns the error.
    [[nodiscard]] auto error() const -> const E &
    {
        return std::get<1>(this->content);
    }

private:
    std::variant<T, E> content;
};

} // namespace tamarackspan::base
