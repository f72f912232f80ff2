#ifndef JASMINELUG_GATEWAY_H_
#define JASMINELUG_GATEWAY_H_

// The engine that serves sessions of a statement protocol. It decides which
// member runs a statement, on which connection, and when a statement is
// refused. This package does no I/O.

#include "src/gateway/answer.h"
#include "src/gateway/answer_check.h"
#include "src/gateway/caller_buffers.h"
#include "src/gateway/candidate_choice.h"
#include "src/gateway/catch_up_probe.h"
#include "src/gateway/cell_order.h"
#include "src/gateway/configuration.h"
#include "src/gateway/connection_holders.h"
#include "src/gateway/copy_bootstrap.h"
#include "src/gateway/customer_limiter.h"
#include "src/gateway/engine.h"
#include "src/gateway/engine_hooks.h"
#include "src/gateway/evacuated_zones.h"
#include "src/gateway/fleet_shares.h"
#include "src/gateway/follower_election.h"
#include "src/gateway/forward_host.h"
#include "src/gateway/forward_table.h"
#include "src/gateway/forwarding.h"
#include "src/gateway/freshness_floor.h"
#include "src/gateway/group_condition.h"
#include "src/gateway/ids.h"
#include "src/gateway/instance_registrar.h"
#include "src/gateway/member.h"
#include "src/gateway/member_directory.h"
#include "src/gateway/member_status.h"
#include "src/gateway/peer_report.h"
#include "src/gateway/peer_view.h"
#include "src/gateway/primary_decision.h"
#include "src/gateway/primary_survey.h"
#include "src/gateway/promotion.h"
#include "src/gateway/replacement_coordinator.h"
#include "src/gateway/revision.h"
#include "src/gateway/session_state_bytes.h"
#include "src/gateway/shutdown.h"
#include "src/gateway/state_relay.h"
#include "src/gateway/state_update.h"
#include "src/gateway/statement.h"
#include "src/gateway/store_contact.h"
#include "src/gateway/store_follower.h"
#include "src/gateway/store_object.h"

#endif  // JASMINELUG_GATEWAY_H_
