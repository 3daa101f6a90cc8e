#pragma once

#include <string>
#include <utility>
#include <vector>

namespace tamarackspan::golden {

/// A text that differs from run to run, and the name that stands for it.
struct Replacement
{
    std::string text;
    std::string name;
};

/// One rule for values that differ from run to run: what the pattern finds is replaced by the text, in which $1 stands for the first group.
struct Rule
{
    std::string name;
    std::string pattern;
    std::string replacement;
};

/// The rules for values that no session can know before: ages, wall clock times, processor time, counts that depend on timing.
[[nodiscard]] auto rules() -> const std::vector<Rule> &;

/// Replaces the texts, the longest first, then applies the rules in their order.
[[nodiscard]] auto normalise(std::string text, std::vector<Replacement> replacements) -> std::string;

/// Puts the entries of an audit trail in the order of their keys; those of one key keep their order. Documents of different keys come to a host in any order.
[[nodiscard]] auto sortAuditEntries(const std::string &transcript) -> std::string;

} // namespace tamarackspan::golden
