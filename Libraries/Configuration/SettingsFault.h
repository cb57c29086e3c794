#pragma once

#include "Base/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace Toucan {

/// One error in a settings file or in the configuration document.
struct SettingsFault {
    /// File name; empty if the document was not read from a file.
    std::string file;
    /// Line in the file, from 1; 0 if unknown.
    size_t line { 0 };
    /// JSON Pointer (RFC 6901) of the key; empty for the complete document.
    std::string path;
    std::string problem;
    /// One sentence with the action that resolves the problem.
    std::string remedy;
};

/// "FILE:LINE: PATH: PROBLEM. REMEDY"; unknown components are omitted.
std::string describe(SettingsFault const& fault);

/// All faults of a document or settings file; what() has one fault on each line.
class SettingsError : public Error {
public:
    /// `faults` must not be empty.
    SettingsError(ErrorKind kind, std::vector<SettingsFault> faults);

    std::vector<SettingsFault> const& faults() const { return this->allFaults; }

private:
    std::vector<SettingsFault> allFaults;
};

/// Appends one reference token to a JSON Pointer (RFC 6901), escaping "~" and "/".
std::string appendToPointer(std::string_view pointer, std::string_view token);
std::string appendToPointer(std::string_view pointer, size_t index);

} // namespace Toucan
