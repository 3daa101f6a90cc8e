#pragma once

#include <string>
#include <utility>
#include <vector>

namespace tamarackspan::golden {

/// A text that differs between runs, and the name that replaces it.
struct Replacement
{
    std::string text;
    std::string name;
};

/// A rule for values that differ between runs: each match of the regular expression is replaced by the text, in which $1 is the first group.
struct Rule
{
    std::string name;
    std::string pattern;
    std::string replacement;
};

/// The rules for values that cannot be known in advance: ages, wall clock times, processor time, and counts that depend on timing.
[[nodiscard]] auto rules() -> const std::vector<Rule> &;

/// Applies the replacements, the longest text first, then the rules in their order.
[[nodiscard]] auto normalise(std::string text, std::vector<Replacement> replacements) -> std::string;

/// Sorts the entries of an audit trail by key; those of one key keep their order. Documents of different keys reach a host in any order.
[[nodiscard]] auto sortAuditEntries(const std::string &transcript) -> std::string;

} // namespace tamarackspan::golden
