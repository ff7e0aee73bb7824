#include "egretspindle/scheduler/host_outbox.hpp"

#include <catch2/catch.hpp>

#include <future>

using namespace egretspindle;

// Guards against a host that ends while a message is being delivered or is to
// be delivered again.
TEST_CASE("an outbox counts an item until its last delivery has ended",
          "[scheduler]")
{
    std::promise<void> delivering;
    std::promise<void> may_end;
    std::promise<void> delivering_again;
    std::promise<void> may_end_again;
    int deliveries = 0;
    host_outbox<int>* self = nullptr;
    host_outbox<int> outbox(
        8,
        [&](const std::string& host, std::vector<int>& items,
            milliseconds /*waited*/)
        {
            const bool is_first = ++deliveries == 1;
            (is_first ? delivering : delivering_again).set_value();
            (is_first ? may_end : may_end_again).get_future().wait();
            if (is_first)
            {
                self->post(host, items.front());
            }
        });
    self = &outbox;
    CHECK(outbox.size() == 0);
    outbox.post("h1", 1);
    delivering.get_future().wait();
    CHECK(outbox.size() == 1);
    outbox.post("h1", 2);
    CHECK(outbox.size() == 2);
    may_end.set_value();
    delivering_again.get_future().wait();
    CHECK(outbox.size() == 2);
    may_end_again.set_value();
    while (outbox.size() > 0)
    {
        std::this_thread::yield();
    }
    CHECK(deliveries == 2);
}
