#include "Configuration/FolderMerge.h"

#include "Configuration/DocumentReader.h"

#include <algorithm>

namespace Toucan {

FolderMerge FolderMerge::create(std::vector<NamedText> files)
{
    auto const byName = [](NamedText const& one, NamedText const& other) { return one.name < other.name; };
    std::sort(files.begin(), files.end(), byName);
    std::vector<SettingsFault> faults;
    FolderMerge result;
    for (auto const& [name, text] : files) {
        try {
            auto const source = SettingsText::create(name, text);
            result.locations.try_emplace("", SourceLocation { name, 1 });
            result.merge(result.merged, source.root(), "", source);
        } catch (SettingsError const& error) {
            faults.insert(faults.end(), error.faults().begin(), error.faults().end());
        }
    }
    if (files.empty())
        faults.push_back({ {}, 0, "", "The folder has no configuration file", "Add files whose names end in .json" });
    if (!faults.empty())
        throw SettingsError(ErrorKind::InvalidSettings, std::move(faults));
    result.check();
    return result;
}

void FolderMerge::merge(
    Json::Value& target, Json::Value const& patch, std::string const& path, SettingsText const& source)
{
    if (!target.isObject()) {
        this->removeLocations(path);
        this->locations[path] = { source.file(), source.lineOf(path) };
        target = Json::Value { Json::objectValue };
    }
    for (auto const& name : patch.getMemberNames()) {
        auto const& value = patch[name];
        auto const memberPath = appendToPointer(path, name);
        if (value.isObject()) {
            this->merge(target[name], value, memberPath, source);
            continue;
        }
        this->removeLocations(memberPath);
        if (value.isNull()) {
            target.removeMember(name);
            continue;
        }
        target[name] = value;
        this->recordLocations(value, memberPath, source);
    }
}

void FolderMerge::removeLocations(std::string const& path)
{
    this->locations.erase(path);
    auto const prefix = path + "/";
    auto const first = this->locations.lower_bound(prefix);
    auto last = first;
    while (last != this->locations.end() && last->first.starts_with(prefix))
        ++last;
    this->locations.erase(first, last);
}

void FolderMerge::recordLocations(Json::Value const& value, std::string const& path, SettingsText const& source)
{
    this->locations[path] = { source.file(), source.lineOf(path) };
    if (!value.isArray())
        return;
    for (Json::ArrayIndex index = 0; index < value.size(); ++index)
        this->recordLocations(value[index], appendToPointer(path, index), source);
}

FolderMerge::SourceLocation FolderMerge::locationOf(std::string const& pointer) const
{
    auto found = this->locations.find(pointer);
    for (auto path = pointer; found == this->locations.end() && !path.empty(); found = this->locations.find(path))
        path = parentPointer(path);
    return found == this->locations.end() ? SourceLocation {} : found->second;
}

void FolderMerge::check() const
{
    std::vector<SettingsFault> faults;
    readDocument(this->merged, UnknownKeys::Refuse, faults);
    if (faults.empty())
        return;
    for (auto& fault : faults) {
        auto const [file, line] = this->locationOf(fault.path);
        fault.file = file;
        fault.line = line;
    }
    throw SettingsError(ErrorKind::InvalidSettings, std::move(faults));
}

} // namespace Toucan
