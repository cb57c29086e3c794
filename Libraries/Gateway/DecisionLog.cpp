#include "Gateway/DecisionLog.h"

#include <algorithm>

namespace Toucan {

/// Limit in lines per second, so that logging leaves the CPU to the requests, and the number of lines that may exceed
/// it at once, as at the start of a fault.
constexpr double linesPerSecond = 50;
constexpr double lineBurst = 200;
/// Longest value of a field, in bytes; the rest is cut off.
constexpr size_t maximumValueLength = 200;

DecisionLog::DecisionLog(std::function<void(std::string const&)> write, std::function<Milliseconds()> now)
    : write(std::move(write))
    , now(std::move(now))
    , tokens(lineBurst)
    , refilledAt(this->now())
{
}

bool DecisionLog::takeToken()
{
    auto const time = this->now();
    this->tokens = std::min(lineBurst, this->tokens + (time - this->refilledAt).value / 1000 * linesPerSecond);
    this->refilledAt = time;
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

static void appendValue(std::string& line, std::string_view value)
{
    value = value.substr(0, maximumValueLength);
    bool const plain = !value.empty() && std::all_of(value.begin(), value.end(), [](char character) {
        return character > ' ' && character != '"' && character != '=' && character < 0x7f;
    });
    if (plain) {
        line += value;
        return;
    }
    line += '"';
    for (char const character : value) {
        bool const printable = character >= ' ' && character != '"' && character < 0x7f;
        line += printable ? character : '?';
    }
    line += '"';
}

void DecisionLog::line(std::string_view event, std::initializer_list<Field> fields, Delivery delivery)
{
    if (delivery == Delivery::RateLimited && !this->takeToken()) {
        ++this->dropped;
        return;
    }
    std::string text = "event=" + std::string(event);
    for (auto const& [key, value] : fields) {
        text += ' ';
        text += key;
        text += '=';
        appendValue(text, value);
    }
    if (this->dropped != this->reportedDrops)
        text += " dropped_lines=" + std::to_string(this->dropped - this->reportedDrops);
    this->reportedDrops = this->dropped;
    this->write(text);
}

} // namespace Toucan
