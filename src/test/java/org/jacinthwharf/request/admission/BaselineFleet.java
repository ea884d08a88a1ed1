package org.jacinthwharf.request.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.request.admission.PolicyLoad.Arrival;

/**
 * Runs a load under a baseline policy, in virtual time.
 *
 * <p>The baselines have more information than real routers: they see free slots without delay, and
 * the fair queue charges the actual cost at the start. Not thread-safe.
 */
final class BaselineFleet {
    /** Baseline policies, whose names appear in the report. */
    enum Policy {
        /** The oldest request of all routers is sent to the server with the fewest requests. */
        FIRST_COME,
        /**
         * Routers are served round-robin; each serves the customer with the least service at this
         * router.
         */
        FAIR_QUEUE_IN_EACH_ROUTER,
        /** Requests are assigned to servers round-robin; each server has its own queue. */
        ROUND_ROBIN
    }

    private record Run(CustomerId customer, double cost, long startedNanos) {}

    private final Policy mPolicy;
    private final Fleet mClock;
    // One queue per router and customer; under round robin, one per server and customer.
    private final List<Map<CustomerId, Deque<Arrival>>> mQueues = new ArrayList<>();
    private final List<Map<CustomerId, Double>> mCounters = new ArrayList<>();
    private final int[] mRunning = new int[PolicyLoad.SERVERS];
    private final List<Run> mRuns = new ArrayList<>();
    private final Map<CustomerId, Double> mServed = new HashMap<>();
    private int mNextIndex;

    BaselineFleet(Policy policy, long seed) {
        mPolicy = policy;
        mClock = new Fleet(seed, 0);
        mClock.mMaxDelayNanos = PolicyBench.MAX_DELAY;
        for (int i = 0; i < Math.max(PolicyLoad.ROUTERS, PolicyLoad.SERVERS); i++) {
            mQueues.add(new TreeMap<>(Comparator.comparing(CustomerId::value)));
            mCounters.add(new HashMap<>());
        }
    }

    PolicySampler run(PolicyLoad load) {
        load.arrivals().forEach(a -> mClock.after(a.atNanos(), () -> arrive(a)));
        PolicySampler sampler = new PolicySampler();
        sampler.start(
                mClock,
                load.backlogged(),
                this::served,
                c -> mQueues.stream().anyMatch(q -> waiting(q, c) > 0),
                () ->
                        mQueues.stream()
                                .flatMap(q -> q.values().stream())
                                .mapToInt(Deque::size)
                                .sum(),
                mRuns::size);
        mClock.runFor(PolicyLoad.DURATION);
        return sampler;
    }

    private double served(CustomerId customer) {
        double partialService =
                mRuns.stream()
                        .filter(r -> r.customer().equals(customer))
                        .mapToDouble(
                                r -> (double) (mClock.mNow - r.startedNanos()) / mClock.mUnitNanos)
                        .sum();
        return mServed.getOrDefault(customer, 0.0) + partialService;
    }

    private static int waiting(Map<CustomerId, Deque<Arrival>> queues, CustomerId customer) {
        return queues.containsKey(customer) ? queues.get(customer).size() : 0;
    }

    private void arrive(Arrival arrival) {
        boolean roundRobin = mPolicy == Policy.ROUND_ROBIN;
        int queueIndex = roundRobin ? mNextIndex++ % PolicyLoad.SERVERS : arrival.router();
        Deque<Arrival> queue =
                mQueues.get(queueIndex)
                        .computeIfAbsent(arrival.customer(), c -> new ArrayDeque<>());
        if (queue.size() >= PolicyLoad.QUEUE_LIMIT) {
            return;
        }
        Map<CustomerId, Double> counters = mCounters.get(queueIndex);
        if (queue.isEmpty()) {
            // No credit for idle time, as in the admission policy.
            double smallest =
                    mQueues.get(queueIndex).entrySet().stream()
                            .filter(e -> !e.getValue().isEmpty())
                            .mapToDouble(e -> counters.getOrDefault(e.getKey(), 0.0))
                            .min()
                            .orElse(0);
            counters.merge(arrival.customer(), smallest, Math::max);
        }
        queue.add(arrival);
        startWaiting();
    }

    private void startWaiting() {
        for (int server = 0; server < PolicyLoad.SERVERS; server++) {
            int best = server;
            if (mPolicy != Policy.ROUND_ROBIN) {
                for (int i = 0; i < PolicyLoad.SERVERS; i++) {
                    best = mRunning[i] < mRunning[best] ? i : best;
                }
            }
            while (mRunning[best] < PolicyLoad.SLOTS_PER_SERVER) {
                Optional<Arrival> next = next(best);
                if (next.isEmpty()) {
                    break;
                }
                start(next.get(), best);
            }
        }
    }

    private Optional<Arrival> next(int server) {
        return switch (mPolicy) {
            case FIRST_COME -> oldest(mQueues);
            case ROUND_ROBIN -> oldest(List.of(mQueues.get(server)));
            case FAIR_QUEUE_IN_EACH_ROUTER -> {
                Optional<Arrival> found = Optional.empty();
                for (int i = 0; i < PolicyLoad.ROUTERS && found.isEmpty(); i++) {
                    found = leastServed(mNextIndex++ % PolicyLoad.ROUTERS);
                }
                yield found;
            }
        };
    }

    private static Optional<Arrival> oldest(List<Map<CustomerId, Deque<Arrival>>> queues) {
        return queues.stream()
                .flatMap(q -> q.values().stream())
                .filter(q -> !q.isEmpty())
                .min(Comparator.comparingLong(q -> q.getFirst().atNanos()))
                .map(Deque::removeFirst);
    }

    private Optional<Arrival> leastServed(int router) {
        Map<CustomerId, Double> counters = mCounters.get(router);
        Optional<Arrival> next =
                mQueues.get(router).values().stream()
                        .filter(q -> !q.isEmpty())
                        .min(Comparator.comparingDouble(q -> counters.get(q.getFirst().customer())))
                        .map(Deque::removeFirst);
        next.ifPresent(a -> counters.merge(a.customer(), a.cost(), Double::sum));
        return next;
    }

    private void start(Arrival arrival, int server) {
        mRunning[server]++;
        mClock.after(
                mClock.delay(),
                () -> {
                    Run run = new Run(arrival.customer(), arrival.cost(), mClock.mNow);
                    mRuns.add(run);
                    mClock.after(
                            (long) (arrival.cost() * mClock.mUnitNanos),
                            () -> {
                                mRuns.remove(run);
                                mRunning[server]--;
                                mServed.merge(run.customer(), run.cost(), Double::sum);
                                startWaiting();
                            });
                });
    }
}
