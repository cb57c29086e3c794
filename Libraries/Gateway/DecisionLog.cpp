#include "Gateway/DecisionLog.h"

#include <algorithm>

namespace Toucan {

/// Lines a second that leave the processor to the requests, and a burst for the moment a fault begins.
constexpr double linesPerSecond = 50;
constexpr double lineBurst = 200;
constexpr size_t longestValue = 200;

DecisionLog::DecisionLog(std::function<void(std::string const&)> write, std::function<Milliseconds()> now)
    : write(std::move(write))
    , now(std::move(now))
    , room(lineBurst)
    , filled(this->now())
{
}

bool DecisionLog::takeRoom()
{
    auto const time = this->now();
    this->room = std::min(lineBurst, this->room + (time - this->filled).value / 1000 * linesPerSecond);
    this->filled = time;
    if (this->room < 1)
        return false;
    this->room -= 1;
    return true;
}

static void appendValue(std::string& line, std::string_view value)
{
    value = value.substr(0, longestValue);
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

void DecisionLog::line(std::string_view event, std::initializer_list<Field> fields, Weight weight)
{
    if (weight == Weight::Bounded && !this->takeRoom()) {
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
    if (this->dropped != this->reported)
        text += " dropped_lines=" + std::to_string(this->dropped - this->reported);
    this->reported = this->dropped;
    this->write(text);
}

} // namespace Toucan
