#include "Operator/FolderReader.h"

#include "Base/Error.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace Toucan {

static std::string readFile(std::filesystem::path const& path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream)
        throw Error(ErrorKind::NotFound, "The file " + path.string() + " cannot be read", "Check its permissions");
    return text.str();
}

std::vector<NamedText> readFolder(std::string const& path)
{
    std::error_code error;
    std::filesystem::directory_iterator entries(path, error);
    if (error)
        throw Error(ErrorKind::NotFound, "The folder " + path + " cannot be read: " + error.message(),
            "Give the folder of the configuration files");
    std::vector<NamedText> files;
    for (auto const& entry : entries) {
        if (entry.is_regular_file() && entry.path().extension() == ".json")
            files.push_back({ entry.path().filename().string(), readFile(entry.path()) });
    }
    return files;
}

} // namespace Toucan
