package org.jacinthwharf.request.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.ToLongBiFunction;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VersionId;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ServerState;

/**
 * Simulates routers, owners and servers in memory and virtual time, with message delays, losses and
 * reorderings generated from one seed.
 */
final class Fleet {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;
    static final long LEASE = 2 * SECOND;
    static final PoolId POOL = PoolId.of(ModelId.of("m"), VersionId.of("v1"));

    /** A request with its actual cost in cost units; a unit takes {@link #mUnitNanos} to serve. */
    record Job(String name, double cost) {}

    private record Event(long atNanos, long order, Runnable task) {}

    final Random mRandom;
    final Map<VmId, FleetRouter> mRouters = new TreeMap<>();
    final Map<BackendServerId, FleetServer> mServers = new TreeMap<>();
    final Map<BackendServerId, VmId> mOwners = new HashMap<>();
    final Map<CustomerId, Double> mServed = new HashMap<>();
    final List<String> mOutcomes = new ArrayList<>();
    double mLoss;
    long mMaxDelayNanos = 2 * MILLI;
    long mUnitNanos = 10 * MILLI;

    /** Additional delay of a message to a router. */
    ToLongBiFunction<VmId, Envelope> mExtraDelay = (to, message) -> 0;

    long mNow = SECOND;
    long mEpoch = 1;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private long mOrder;

    Fleet(long seed, int routers) {
        mRandom = new Random(seed);
        for (int i = 0; i < routers; i++) {
            addRouter(i, 1, "fd", "region", routers);
        }
    }

    /** Adds a router, or replaces an earlier incarnation of it. */
    FleetRouter addRouter(
            int i, long incarnation, String domain, String region, int configuredRouters) {
        RouterIncarnation self = RouterIncarnation.of(VmId.of("r" + i), incarnation);
        FleetRouter router =
                new FleetRouter(this, self, FailureDomainId.of(domain), region, configuredRouters);
        FleetRouter before = mRouters.put(router.mVm, router);
        if (before != null) {
            before.mAlive = false;
        }
        router.start();
        return router;
    }

    FleetRouter router(int i) {
        return mRouters.get(VmId.of("r" + i));
    }

    FleetServer addServer(String id, ServerState state, int cold, int warm, int owner) {
        FleetServer server = new FleetServer(this, BackendServerId.of(id), state, cold, warm);
        mServers.put(server.mId, server);
        setOwner(server, router(owner), mNow);
        server.start();
        return server;
    }

    /**
     * Makes {@code owner} the owner of the server, as the membership does, and notifies all routers
     * of its failure domain.
     */
    void setOwner(FleetServer server, FleetRouter owner, long leaseFreeFrom) {
        mEpoch++;
        mOwners.put(server.mId, owner.mVm);
        owner.mOwned.put(server.mId, mNow);
        Map<BackendServerId, VmId> owners = new HashMap<>(mOwners);
        owners.values().removeIf(vm -> !mRouters.get(vm).mDomain.equals(owner.mDomain));
        owner.mOwner.onLease(mEpoch, mNow + LEASE);
        owner.mOwner.onServerAcquired(server.mId, leaseFreeFrom);
        for (FleetRouter router : mRouters.values()) {
            if (!router.mReachesCoordinator || !router.mDomain.equals(owner.mDomain)) {
                continue;
            }
            router.receive(
                    () -> {
                        if (router != owner && router.mOwned.remove(server.mId) != null) {
                            router.mOwner.onServerReleased(server.mId);
                        }
                        router.execute(router.mAdmission.onView(mEpoch, owners, mNow));
                    },
                    owner);
        }
    }

    /** Sends a message, which may be delayed, reordered or lost. */
    void send(FleetRouter from, VmId to, Envelope message) {
        if (mRandom.nextDouble() >= mLoss || from.mVm.equals(to)) {
            FleetRouter target = mRouters.get(to);
            after(
                    mExtraDelay.applyAsLong(to, message),
                    () -> target.receive(() -> target.deliver(message), from));
        }
    }

    long delay() {
        return 1 + (long) (mRandom.nextDouble() * mMaxDelayNanos);
    }

    void after(long delayNanos, Runnable task) {
        mEvents.add(new Event(mNow + delayNanos, mOrder++, task));
    }

    void every(long periodNanos, Runnable task) {
        after(
                periodNanos,
                () -> {
                    task.run();
                    every(periodNanos, task);
                });
    }

    void runFor(long nanos) {
        long end = mNow + nanos;
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= end) {
            Event event = mEvents.poll();
            mNow = event.atNanos();
            event.task().run();
        }
        mNow = end;
    }

    /** Returns the service provided so far, including that of running requests. */
    double served(CustomerId customer) {
        double running =
                mServers.values().stream().mapToDouble(s -> s.partialService(customer)).sum();
        return mServed.getOrDefault(customer, 0.0) + running;
    }
}
