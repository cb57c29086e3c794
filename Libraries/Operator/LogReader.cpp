#include "Operator/LogReader.h"

#include "Base/Error.h"

#include <filesystem>
#include <fstream>

namespace Toucan {

constexpr uint64_t progressBytes = 67108864;

static uint64_t sizeOf(std::string const& path)
{
    std::error_code error;
    auto const size = std::filesystem::file_size(path, error);
    if (error)
        throw Error(ErrorKind::NotFound, "The log " + path + " cannot be read: " + error.message(),
            "Give the files of the nodes' logs");
    return size;
}

void readLogs(std::span<std::string const> paths, LogReaderHooks const& hooks)
{
    uint64_t total = 0;
    for (auto const& path : paths)
        total += sizeOf(path);
    uint64_t read = 0;
    uint64_t nextProgress = progressBytes;
    for (auto const& path : paths) {
        std::ifstream stream(path);
        std::string line;
        uint64_t number = 0;
        while (std::getline(stream, line)) {
            hooks.line(line, path + ":" + std::to_string(++number));
            read += line.size() + 1;
            if (read < nextProgress || !hooks.progress)
                continue;
            hooks.progress(read, total);
            nextProgress += progressBytes;
        }
        if (stream.bad() || !stream.eof())
            throw Error(ErrorKind::NotFound, "The log " + path + " cannot be read", "Check its permissions");
    }
}

} // namespace Toucan
