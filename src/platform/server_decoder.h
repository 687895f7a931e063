// Decodes what backend servers say of themselves.
#ifndef PLATFORM_SERVER_DECODER_H_
#define PLATFORM_SERVER_DECODER_H_

#include <string>

#include "base/outcome.h"
#include "model/backend_server.h"

namespace kumquatcart {

// Decodes a server's entry in the store. Entries may come from other writers:
// one that lacks a field, or has one of another type or an unknown state, names
// no server. Errors: kInvalidArgument. Thread safe.
Result<BackendServer> DecodeServerEntry(const std::string& id,
                                        const std::string& text);

// Decodes a server's report. Errors: kInvalidArgument. Thread safe.
Result<EngineReport> DecodeEngineReport(const std::string& text);

}  // namespace kumquatcart

#endif  // PLATFORM_SERVER_DECODER_H_
