#include "normalise.h"

#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <regex>

namespace tamarackspan::golden {

auto rules() -> const std::vector<Rule> &
{
    static const auto list = std::vector<Rule>{
        {"wall clock", "[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]+\\+00:00", "<time>"},
        {"leaf port", "(leafs\\.leaf-[0-9]+\\.port: +-> )[0-9]+", "$1<port>"},
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

auto sortAuditEntries(const std::string &transcript) -> std::string
{
    struct Entry
    {
        std::string key;
        std::string text;
    };
    auto before = std::string();
    auto after = std::string();
    auto entries = std::vector<Entry>();
    for (const auto &line : std::vector<std::string>(absl::StrSplit(transcript, '\n'))) {
        const auto isEntry = line.starts_with("<time>  ");
        const auto isDetail = !entries.empty() && after.empty() && line.starts_with("    ");
        if (isEntry) {
            const auto fields = std::vector<std::string>(absl::StrSplit(line, "  "));
            entries.push_back({fields.size() > 2 ? fields[2] : std::string(), line + "\n"});
        } else if (isDetail) {
            entries.back().text += line + "\n";
        } else {
            (entries.empty() ? before : after) += line + "\n";
        }
    }
    std::stable_sort(entries.begin(), entries.end(), [](const Entry &a, const Entry &b) {
        return a.key < b.key;
    });
    for (const auto &entry : entries) {
        before += entry.text;
    }
    return before + after;
}

} // namespace tamarackspan::golden
