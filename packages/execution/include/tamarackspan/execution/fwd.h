#pragma once

namespace tamarackspan::execution {

struct Ticket;
struct Outcome;
struct Submission;
struct TicketBook;
struct TicketBookOptions;

} // namespace tamarackspan::execution
