#pragma once

#include "Base/Clock.h"

namespace Toucan {

/// Decides when it is reported that the configuration has not been confirmed by the registry or a relay for longer than
/// its maximum permitted age: once for each such time, and once when it is confirmed again.
class ConfirmationMonitor {
public:
    enum class Report {
        None,
        Outdated,
        Confirmed,
    };

    /// `age` is the time since the last confirmation.
    Report update(Milliseconds age)
    {
        bool const isOutdated = age > maximumAge;
        if (isOutdated == this->reported)
            return Report::None;
        this->reported = isOutdated;
        return isOutdated ? Report::Outdated : Report::Confirmed;
    }

private:
    /// Time within which a new configuration must be in force on every node that has contact.
    static constexpr Milliseconds maximumAge { 5000 };
    bool reported { false };
};

} // namespace Toucan
