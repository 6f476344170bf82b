// Includes all message headers except those of messages between controllers.
#pragma once
#include "protocol/cloud_messages.hpp"
#include "protocol/ledger_format.hpp"
#include "protocol/protocol_error.hpp"
#include "protocol/store_messages.hpp"
#include "protocol/user_messages.hpp"
#include "protocol/worker_messages.hpp"
