#include "routing/fair_queue.h"

#include <cmath>
#include <set>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

AdmissionRequest MakeRequest(int id,
                             const std::string& organisation,
                             double cost = 1,
                             int priority = 0) {
  AdmissionRequest request;
  request.request = RequestId("r" + std::to_string(id));
  request.organisation = ObjectName(organisation);
  request.expected_cost = cost;
  request.priority = priority;
  return request;
}

TEST_CASE("Busy organisations are served in proportion to their weights") {
  rc::prop("served cost over weight differs by at most one request", [] {
    const int organisations = *rc::gen::inRange(2, 6);
    FairQueue queue;
    std::vector<double> weights;
    int id = 0;
    for (int index = 0; index < organisations; ++index) {
      weights.push_back(*rc::gen::inRange(1, 5));
      for (int count = 0; count < 200; ++count) {
        const double cost = *rc::gen::inRange(1, 10);
        queue.Push(MakeRequest(++id, std::to_string(index), cost),
                   weights[index]);
      }
    }
    std::vector<double> served(organisations, 0);
    for (int step = 0; step < 150; ++step) {
      const auto next = queue.Pop();
      const int index = std::stoi(next->organisation.value);
      served[index] += next->expected_cost / weights[index];
      for (int left = 0; left < organisations; ++left) {
        for (int right = 0; right < organisations; ++right) {
          const double bound = 10 / weights[left] + 10 / weights[right];
          RC_ASSERT(std::abs(served[left] - served[right]) <= bound);
        }
      }
    }
  });
}

TEST_CASE("Every pushed request is popped or removed exactly once") {
  rc::prop("against a plain set", [] {
    FairQueue queue;
    std::set<std::string> present;
    const int steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
      const int action = *rc::gen::inRange(0, 4);
      if (action <= 1) {
        const auto request =
            MakeRequest(step, std::to_string(*rc::gen::inRange(0, 3)), 1,
                        *rc::gen::inRange(0, 3));
        queue.Push(request, 1);
        present.insert(request.request.value);
      } else if (action == 2) {
        const auto next = queue.Pop();
        RC_ASSERT(next.has_value() == !present.empty());
        RC_ASSERT(!next || present.erase(next->request.value) == 1);
      } else if (!present.empty()) {
        const RequestId removed(*present.begin());
        RC_ASSERT(queue.Remove(removed));
        RC_ASSERT(!queue.Remove(removed));
        present.erase(removed.value);
      }
      RC_ASSERT(queue.Size() == present.size());
    }
  });
}

TEST_CASE("A backlog of one organisation does not delay another") {
  FairQueue queue;
  for (int id = 0; id < 1000; ++id) {
    queue.Push(MakeRequest(id, "large"), 1);
  }
  for (int popped = 0; popped < 100; ++popped) {
    queue.Pop();
  }
  queue.Push(MakeRequest(2000, "small"), 1);
  const ObjectName first = queue.Pop()->organisation;
  const ObjectName second = queue.Pop()->organisation;
  const ObjectName small("small");
  REQUIRE((first == small || second == small));
}

TEST_CASE("An idle organisation accumulates no credit") {
  FairQueue queue;
  int id = 0;
  for (; id < 200; ++id) {
    queue.Push(MakeRequest(id, "busy"), 1);
  }
  for (int popped = 0; popped < 100; ++popped) {
    queue.Pop();
  }
  for (; id < 300; ++id) {
    queue.Push(MakeRequest(id, "late"), 1);
  }
  int late = 0;
  for (int popped = 0; popped < 50; ++popped) {
    late += queue.Pop()->organisation == ObjectName("late") ? 1 : 0;
  }
  REQUIRE(late >= 24);
  REQUIRE(late <= 26);
}

TEST_CASE("Priority orders requests only within an organisation") {
  FairQueue queue;
  queue.Push(MakeRequest(1, "a", 1, 0), 1);
  queue.Push(MakeRequest(2, "a", 1, 5), 1);
  queue.Push(MakeRequest(3, "b", 1, 0), 1);
  REQUIRE(queue.CountAhead(ObjectName("a"), 5) == 1);
  REQUIRE(queue.CountAhead(ObjectName("a"), 0) == 2);
  REQUIRE(queue.Pop()->request == RequestId("r2"));
  REQUIRE(queue.Pop()->request == RequestId("r3"));
  REQUIRE(queue.Pop()->request == RequestId("r1"));
}

TEST_CASE("Requests that cannot meet their deadline are removed") {
  rc::prop("against each request's predicted start", [] {
    FairQueue queue;
    const MonotonicTime now{std::chrono::hours(1)};
    const int count = *rc::gen::inRange(1, 40);
    std::vector<MonotonicTime> deadlines;
    for (int id = 0; id < count; ++id) {
      AdmissionRequest request = MakeRequest(id, "a");
      request.deadline =
          now + std::chrono::milliseconds(*rc::gen::inRange(-100, 4000));
      deadlines.push_back(request.deadline);
      queue.Push(request, 1);
    }
    std::set<std::string> expected;
    int ahead = 0;
    for (int id = 0; id < count; ++id) {
      // Ten requests start per second.
      if (now + std::chrono::milliseconds(100 * ahead) > deadlines[id]) {
        expected.insert("r" + std::to_string(id));
      } else {
        ++ahead;
      }
    }
    std::set<std::string> found;
    for (const AdmissionRequest& request : queue.RemoveInfeasible(now, 10)) {
      found.insert(request.request.value);
    }
    RC_ASSERT(found == expected);
    RC_ASSERT(queue.Size() == static_cast<std::size_t>(ahead));
  });
}

}  // namespace
}  // namespace kumquatcart
