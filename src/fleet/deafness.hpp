// Machines whose reports arrive while no answer and no command reaches them. Each lease of theirs runs out though it is
// answered in time; what is placed there never starts, and is lost with the next tenure. Told by what their reports say.
// Pure; times are steady seconds unless said.
#pragma once
#include "bookkeeping/book.hpp"

namespace thistle {

// To be told of each message before take_report(): a later tenure, though the one before was answered within its lease, is
// that of a machine that no answer reached.
void listen(Host& host, const Report& report, bool by_report, double now, double lease_s);
// Nothing new is placed there: it is deaf, or what was to start there a while ago (wall seconds) has not, though its
// reports come.
bool unheeding(const Host& host, double wall, double report_s);
// Deaf for so long that another machine in its place serves better, where few of its zone are: more of them are a trouble
// that will pass.
std::vector<HostIdx> given_up_as_deaf(const Book& book, double now, double lease_s);

}  // namespace thistle
