#pragma once

#include <fstream>
#include <json/value.h>
#include <string>

namespace Toucan::Bench {

/// Appends one JSON object per line to a file. The lines are what Scripts/check_history.py reads.
class HistoryWriter {
public:
    /// Replaces the file. Throws Error of kind InvalidSettings when it cannot be written.
    explicit HistoryWriter(std::string const& path);

    void write(Json::Value const& line);
    void flush() { this->file.flush(); }

private:
    std::ofstream file;
};

} // namespace Toucan::Bench
