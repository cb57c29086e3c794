#include "GatewayNode/GatewaySettings.h"

#include "Configuration/SettingsReader.h"
#include "Configuration/SettingsText.h"
#include "Configuration/SettingsValues.h"

namespace Toucan {

constexpr uint64_t maximumStopMs = 600000;
/// Largest number of nodes that may share the connections of a target.
constexpr uint64_t maximumSharers = 10000;
constexpr uint64_t minimumMemoryMegabytes = 64;
constexpr uint64_t maximumMemoryMegabytes = 1048576;
constexpr uint64_t minimumAnswerBytes = 1024;
constexpr uint64_t maximumAnswerBytes = 1073741824;

/// Margin for requests that are in transit at the end of a window, which the target counts in the next one.
/// It also applies to the default ratio.
constexpr double ratioMargin = 0.95;
static void readExtraAttempts(SettingsReader& reader, GatewaySettings& settings)
{
    auto& limits = settings.extraAttempts;
    limits.ratio = ratioMargin * reader.number("ratio", limits.ratio, { 0, 1 });
    limits.allowance = reader.number("allowance", limits.allowance, { 0, 1000000 });
    if (reader.has("total"))
        settings.totalExtraAttempts = reader.number("total", 0, { 0, 1000000 });
    limits.window = { 1000 * reader.number("windowSeconds", limits.window.value / 1000, { 1, 3600 }) };
}

static void readWorkspaceLimits(SettingsReader& reader, QuotaBounds& bounds)
{
    bounds.window = { 1000 * reader.number("windowSeconds", bounds.window.value / 1000, { 0.1, 3600 }) };
    bounds.overshoot = reader.number("overshoot", bounds.overshoot, { 0, 10 });
    bounds.slack = reader.number("slack", bounds.slack, { 0, 1000000 });
}

static void readDisabledMechanisms(SettingsReader& reader, GatewaySettings& settings)
{
    constexpr auto key = "disabledMechanisms";
    if (!reader.has(key))
        return;
    for (auto const& entry : reader.array(key)) {
        if (auto const mechanism = parseMechanism(entry.isString() ? entry.asString() : ""))
            settings.mechanisms.disable(*mechanism);
        else
            reader.report(key, "An entry is not the name of a mechanism",
                "Write names from the list in docs/OPERATIONS.md, such as \"hedging\"");
    }
}

GatewaySettings parseGatewaySettings(std::string const& file, std::string_view text)
{
    auto const document = SettingsText::create(file, text);
    std::vector<SettingsFault> faults;
    SettingsReader reader(document.root(), "", faults);
    GatewaySettings settings;
    settings.name = readName(reader, "name");
    settings.failureDomain = readName(reader, "failureDomain");
    settings.callerListen = readAddress(reader, "callerListen");
    settings.readyListen = readAddress(reader, "readyListen");
    if (reader.has("metricsListen"))
        settings.metricsListen = readAddress(reader, "metricsListen");
    settings.registry = readAddress(reader, "registry");
    if (reader.has("relayListen"))
        settings.relayListen = readAddress(reader, "relayListen");
    settings.relays = readAddresses(reader, "relays");
    auto const milliseconds = [&reader](char const* key, Milliseconds defaultValue) {
        auto const value = reader.integer(key, static_cast<uint64_t>(defaultValue.value), { 0, maximumStopMs });
        return Milliseconds { static_cast<double>(value) };
    };
    settings.stopTime = milliseconds("stopMs", settings.stopTime);
    settings.balancerLag = milliseconds("balancerLagMs", settings.balancerLag);
    settings.connectionSharers
        = static_cast<uint32_t>(reader.integer("connectionSharers", settings.connectionSharers, { 1, maximumSharers }));
    settings.restarted = reader.boolean("restarted", settings.restarted);
    settings.memoryMegabytes = static_cast<uint32_t>(
        reader.integer("memoryMb", settings.memoryMegabytes, { minimumMemoryMegabytes, maximumMemoryMegabytes }));
    settings.answerBodyLimit
        = reader.integer("answerBytes", settings.answerBodyLimit, { minimumAnswerBytes, maximumAnswerBytes });
    readDisabledMechanisms(reader, settings);
    if (reader.has("extraAttempts")) {
        SettingsReader budget(reader.object("extraAttempts"), reader.pathOf("extraAttempts"), faults);
        readExtraAttempts(budget, settings);
        budget.reportUnknownKeys();
    }
    if (reader.has("workspaceLimits")) {
        SettingsReader limits(reader.object("workspaceLimits"), reader.pathOf("workspaceLimits"), faults);
        readWorkspaceLimits(limits, settings.workspaceLimits);
        limits.reportUnknownKeys();
    }
    reader.reportUnknownKeys();
    document.throwFaults(std::move(faults));
    return settings;
}

GatewaySettings readGatewaySettings(std::string const& file)
{
    return parseGatewaySettings(file, readSettingsFile(file));
}

} // namespace Toucan
