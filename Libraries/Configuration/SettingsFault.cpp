#include "Configuration/SettingsFault.h"

namespace Toucan {

static std::string formatProblem(SettingsFault const& fault)
{
    std::string text;
    if (!fault.file.empty()) {
        text += fault.file;
        if (fault.line)
            text += ":" + std::to_string(fault.line);
        text += ": ";
    }
    if (!fault.path.empty())
        text += fault.path + ": ";
    return text + fault.problem;
}

std::string describe(SettingsFault const& fault) { return formatProblem(fault) + ". " + fault.remedy; }

static std::string detailOf(std::vector<SettingsFault> const& faults)
{
    std::string text;
    for (size_t index = 0; index + 1 < faults.size(); ++index)
        text += describe(faults[index]) + "\n";
    return text + formatProblem(faults.back());
}

SettingsError::SettingsError(ErrorKind kind, std::vector<SettingsFault> faults)
    : Error(kind, detailOf(faults), faults.back().remedy)
    , allFaults(std::move(faults))
{
}

std::string appendToPointer(std::string_view pointer, std::string_view token)
{
    std::string result(pointer);
    result += '/';
    for (char const character : token) {
        if (character == '~')
            result += "~0";
        else if (character == '/')
            result += "~1";
        else
            result += character;
    }
    return result;
}

std::string appendToPointer(std::string_view pointer, size_t index)
{
    return std::string(pointer) + "/" + std::to_string(index);
}

} // namespace Toucan
