#include "Configuration/ConfigurationDifference.h"

#include "Base/Json.h"
#include "Configuration/SettingsFault.h"

#include <set>

namespace Toucan {

ConfigurationDifference ConfigurationDifference::between(Json::Value const& before, Json::Value const& after)
{
    ConfigurationDifference result;
    result.compare(before, after, "");
    return result;
}

void ConfigurationDifference::compare(Json::Value const& before, Json::Value const& after, std::string const& path)
{
    if (before.isObject() && after.isObject()) {
        this->compareMembers(before, after, path);
        return;
    }
    if (before != after)
        this->allChanges.push_back({ Kind::Changed, path, before, after });
}

void ConfigurationDifference::compareMembers(
    Json::Value const& before, Json::Value const& after, std::string const& path)
{
    std::set<std::string> names;
    for (auto const& name : before.getMemberNames())
        names.insert(name);
    for (auto const& name : after.getMemberNames())
        names.insert(name);
    for (auto const& name : names) {
        auto const memberPath = appendToPointer(path, name);
        if (!before.isMember(name))
            this->allChanges.push_back({ Kind::Added, memberPath, {}, after[name] });
        else if (!after.isMember(name))
            this->allChanges.push_back({ Kind::Removed, memberPath, before[name], {} });
        else
            this->compare(before[name], after[name], memberPath);
    }
}

std::string ConfigurationDifference::describe() const
{
    std::string text;
    for (auto const& change : this->allChanges) {
        switch (change.kind) {
        case Kind::Added:
            text += "+ " + change.path + " " + writeJson(change.after);
            break;
        case Kind::Removed:
            text += "- " + change.path + " " + writeJson(change.before);
            break;
        case Kind::Changed:
            text += "~ " + change.path + " " + writeJson(change.before) + " -> " + writeJson(change.after);
            break;
        }
        text += "\n";
    }
    return text;
}

} // namespace Toucan
