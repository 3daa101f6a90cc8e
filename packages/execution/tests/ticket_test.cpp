#include "tamarackspan/execution/ticket.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace {

using namespace tamarackspan::execution;
using tamarackspan::base::HostId;
using tamarackspan::base::Incarnation;

constexpr auto secret = HashKey{.first = 1, .second = 2};

auto genuine(std::uint64_t incarnation, std::uint64_t number, std::int64_t expiry) -> Ticket
{
    auto ticket = Ticket{.host = HostId("10.0.0.1:7000"), .incarnation = Incarnation(incarnation), .number = number, .expiry = absl::FromUnixNanos(expiry)};
    ticket.mac = ticketMac(ticket, secret);
    return ticket;
}

TEST(SipHash, AgreesWithItsPublishedTestVector)
{
    auto bytes = std::string();
    for (auto i = 0; i < 15; ++i) {
        bytes.push_back(static_cast<char>(i));
    }
    EXPECT_EQ(sipHash({.first = 0x0706050403020100, .second = 0x0f0e0d0c0b0a0908}, bytes), 0xa129ca6149be45e5U);
}

TEST(Ticket, ReadsBackWhatItWrote)
{
    EXPECT_TRUE(rc::check([](std::uint64_t incarnation, std::uint64_t number, std::int64_t expiry) {
        const auto ticket = genuine(incarnation, number, expiry);
        const auto read = parseTicket(toString(ticket));
        RC_ASSERT(read.ok());
        RC_ASSERT(read.value() == ticket);
    }));
}

TEST(Ticket, WithOneChangedCharacterIsNoTicketOrHasAWrongCheck)
{
    EXPECT_TRUE(rc::check([](std::uint64_t incarnation, std::uint64_t number, std::int64_t expiry) {
        auto text = toString(genuine(incarnation, number, expiry));
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto to = *rc::gen::distinctFrom(rc::gen::arbitrary<char>(), text[at]);
        text[at] = to;
        const auto read = parseTicket(text);
        const auto accepted = read.ok() && read.value().mac == ticketMac(read.value(), secret);
        RC_ASSERT_FALSE(accepted);
    }));
}

TEST(Ticket, ReportsWhatWasExpectedInsteadOfAnInvalidText)
{
    for (const auto *text :
         {"", ",", "a,1,2,3", "a,1,2,3,4,5", ",1,2,3,4", "a,1,2,3,-4", "a,1,2,3,0x4", "a,01,2,3,4", "a,1,2,3,11112222333344445", "a,1,2,3,F"}) {
        EXPECT_FALSE(parseTicket(text).ok()) << text;
    }
    EXPECT_EQ(parseTicket("a").error().message, "expected a ticket of five fields with commas between them");
}

} // namespace
