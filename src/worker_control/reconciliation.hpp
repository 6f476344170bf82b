// Includes all headers of the reconciliation between the cluster state and the agents. New code includes only the headers it needs.
#pragma once

#include "worker_control/command_selection.hpp"
#include "worker_control/draining.hpp"
#include "worker_control/heartbeat_application.hpp"
#include "worker_control/lease_expiry.hpp"
#include "worker_control/start_fencing.hpp"
#include "worker_control/task_records.hpp"
#include "worker_control/timestamps.hpp"
