#include "normalise.h"

#include "absl/strings/str_replace.h"

#include <algorithm>
#include <regex>

namespace tamarackspan::golden {

auto rules() -> const std::vector<Rule> &
{
    static const auto list = std::vector<Rule>{
        {"wall clock", "[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]+\\+00:00", "<time>"},
        {"age", "(_ms_ago\"?: )[0-9]+", "$1<ms>"},
        {"processor time", "(leaf_micros\"?: ?)[0-9]+", "$1<micros>"},
        {"wait before another try", "(retry_after_ms\":|Retry-After: )[0-9]+", "$1<wait>"},
        {"platform calls", "(\"?platform\"?[.: \\{\\n]+\"?calls\"?: )[0-9]+", "$1<calls>"},
        {"control links", "(control_links\"?: )[0-9]+", "$1<links>"},
        {"who delivered a document", "  from (platform|peer)  ", "  from <source>  "},
        {"owner, chosen by a hash of addresses", "(owners\\.[0-9]+\\.(host|slots|connections): ).*", "$1<by hash>"},
        {"share of this host, by the same hash", "(share_of_this_host\\.[a-z]+: ).*", "$1<by hash>"},
        {"budget in force, which moves with lending", "(in_force_now\\.[a-z_]+: ).*", "$1<by lending>"},
    };
    return list;
}

auto normalise(std::string text, std::vector<Replacement> replacements) -> std::string
{
    std::sort(replacements.begin(), replacements.end(), [](const Replacement &a, const Replacement &b) {
        return a.text.size() > b.text.size();
    });
    for (const auto &replacement : replacements) {
        text = absl::StrReplaceAll(text, {{replacement.text, replacement.name}});
    }
    for (const auto &rule : rules()) {
        text = std::regex_replace(text, std::regex(rule.pattern), rule.replacement);
    }
    return text;
}

} // namespace tamarackspan::golden
