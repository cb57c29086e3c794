#include "Bench/HistoryWriter.h"

#include "Base/Error.h"
#include "Base/Json.h"

namespace Toucan::Bench {

HistoryWriter::HistoryWriter(std::string const& path)
    : file(path, std::ios::trunc)
{
    if (!this->file)
        throw Error(ErrorKind::InvalidSettings, "The history " + path + " cannot be written", "Name a writable file");
}

void HistoryWriter::write(Json::Value const& line) { this->file << writeJson(line) << '\n'; }

} // namespace Toucan::Bench
