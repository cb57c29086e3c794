#pragma once

#include "Engine/ConfigurationState.h"
#include "Engine/KeyOwner.h"
#include "Engine/Membership.h"
#include "Engine/Messages.h"

#include <json/value.h>
#include <span>
#include <string>
#include <vector>

/// Converts typed messages to and from the JSON frames that nodes exchange. Decoders ignore unknown members, so that
/// nodes of different versions work together; they throw Error of kind ProtocolViolation for a wrong type.
namespace Toucan::FrameCodec {

/// Groups consecutive parts of one request, so that the frame contains its body only once.
Json::Value encodeParts(std::span<PartRequest const> parts);
std::vector<PartRequest> decodeParts(Json::Value const& frame);

Json::Value encodeResults(std::span<PartResult const> results);
std::vector<PartResult> decodeResults(Json::Value const& frame);

Json::Value encodeCommand(CommandRequest const& command);
CommandRequest decodeCommand(Json::Value const& frame);

Json::Value encodeCommandResult(CommandResult const& result);
CommandResult decodeCommandResult(Json::Value const& frame);

Json::Value encodePeer(Peer const& peer);
Peer decodePeer(Json::Value const& value);

Json::Value encodeOwnershipRecord(OwnershipRecord const& record);
OwnershipRecord decodeOwnershipRecord(Json::Value const& value);

Json::Value encodeConfigurationUpdate(ConfigurationUpdate const& update);
ConfigurationUpdate decodeConfigurationUpdate(Json::Value const& frame);

} // namespace Toucan::FrameCodec
