#pragma once

/// All of the transport library: HTTP to callers, targets, the platform and operators; UDP and
/// streams between daemons. It takes no decisions.

#include "transport/bearer_token.hpp"
#include "transport/caller_presence.hpp"
#include "transport/http.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/peer_stream.hpp"
#include "transport/platform_client.hpp"
#include "transport/shared_key.hpp"
#include "transport/udp_channel.hpp"
