#include "Bench/Settings.h"

#include "Base/Error.h"
#include "Base/Json.h"

#include <fstream>
#include <iterator>

namespace Toucan::Bench {

Json::Value readSettings(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        throw Error(ErrorKind::InvalidSettings, "The settings " + path + " cannot be read", "Name a readable file");
    std::string const text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    try {
        return parseJson(text);
    } catch (Error const& error) {
        throw Error(ErrorKind::InvalidSettings, path + ": " + error.detail(), error.remedy());
    }
}

} // namespace Toucan::Bench
