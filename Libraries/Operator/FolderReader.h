#pragma once

#include "Configuration/FolderMerge.h"

#include <string>
#include <vector>

namespace Toucan {

/// Reads the files of a folder whose names end in ".json"; ignores other files and subfolders. Throws Error of kind
/// NotFound if the folder or a file cannot be read.
std::vector<NamedText> readFolder(std::string const& path);

} // namespace Toucan
