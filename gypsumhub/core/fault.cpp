#include "gypsumhub/core/fault.h"

#include <utility>

namespace gypsumhub {

auto toString(const fault& entry) -> std::string
{
    auto text = std::string {};
    if (!entry.file.empty())
        text += entry.file + ":" + (entry.line ? std::to_string(entry.line) + ":" : std::string {}) + " ";
    text += entry.message;
    if (!entry.hint.empty())
        text += "; " + entry.hint;
    auto& row = describe(entry.code);
    text += " (" + std::to_string(static_cast<unsigned>(row.code)) + " " + std::string(row.name) + ")";
    return text;
}

auto failWith(fault entry) -> leaf::error_id
{
    auto list = fault_list {};
    list.faults.push_back(std::move(entry));
    return leaf::new_error(std::move(list));
}

} // namespace gypsumhub
