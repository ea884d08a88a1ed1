package org.jacinthwharf.request.admission;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.OptionalDouble;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.wire.generated.ServerState;

/**
 * Guards G3 against more requests than the cold limit at a cold server, caused by grants of two
 * owners, grants used late, unreported requests, or routers without a view.
 */
final class ColdLimitTest {
    private static final int ROUTERS = 4;
    private static final int COLD_LIMIT = 2;
    private static final int WARM_LIMIT = 12;

    private int mJobs;

    /** Returns a fleet whose load exceeds the cold limit several times. */
    private Fleet fleet(long seed, ServerState state) {
        Fleet fleet = new Fleet(seed, ROUTERS);
        fleet.mLoss = 0.01;
        fleet.mMaxDelayNanos = 20 * Fleet.MILLI;
        fleet.addServer("s0", state, COLD_LIMIT, WARM_LIMIT, 0);
        for (int i = 0; i < ROUTERS; i++) {
            FleetRouter router = fleet.router(i);
            fleet.every(
                    40 * Fleet.MILLI,
                    () ->
                            router.offer(
                                    CustomerId.of("c" + mJobs % 5),
                                    new Fleet.Job("j" + mJobs++, 300 * fleet.mRandom.nextDouble()),
                                    OptionalDouble.empty(),
                                    20 * Fleet.SECOND));
        }
        return fleet;
    }

    private static FleetServer server(Fleet fleet) {
        return fleet.mServers.values().iterator().next();
    }

    /**
     * Moves ownership from router 0 to router 1, like a view change after the lease has expired.
     */
    private static void takeOver(Fleet fleet) {
        fleet.setOwner(server(fleet), fleet.router(1), fleet.mNow);
    }

    private static void assertWithinLimit(Fleet fleet, int startedBefore) {
        assertWithMessage("requests above the cold limit")
                .that(server(fleet).mMaxAboveColdLimit)
                .isEqualTo(0);
        // The limit would hold trivially if nothing started.
        assertWithMessage("requests started")
                .that(server(fleet).mStarted)
                .isGreaterThan(startedBefore);
    }

    @Property(tries = 10, seed = "201")
    void firstStartNeverExceedsColdLimit(@ForAll long seed) {
        Fleet fleet = fleet(seed, ServerState.COLD);
        fleet.runFor(20 * Fleet.SECOND);
        assertWithinLimit(fleet, 0);
    }

    @Property(tries = 10, seed = "202")
    void turningColdAdmitsNothingUntilFewerThanTheLimitRun(@ForAll long seed) {
        Fleet fleet = fleet(seed, ServerState.WARM);
        fleet.runFor(10 * Fleet.SECOND);
        server(fleet).set(ServerState.COLD);
        int started = server(fleet).mStarted;
        fleet.runFor(20 * Fleet.SECOND);
        assertWithinLimit(fleet, started);
        assertWithMessage("recalled requests")
                .that(fleet.mOutcomes.stream().filter(o -> o.startsWith("cancel")).count())
                .isGreaterThan(0L);
    }

    @Property(tries = 10, seed = "203")
    void grantAfterOwnerIsKilledNeverExceedsColdLimit(@ForAll long seed) {
        Fleet fleet = fleet(seed, ServerState.COLD);
        fleet.runFor(10 * Fleet.SECOND);
        // Its requests continue to run, since the server does not detect the loss.
        fleet.router(0).mAlive = false;
        fleet.runFor(Fleet.LEASE);
        takeOver(fleet);
        int started = server(fleet).mStarted;
        fleet.runFor(140 * Fleet.SECOND);
        assertWithinLimit(fleet, started);
    }

    @Property(tries = 10, seed = "204")
    void grantAfterOwnerIsFrozenAndResumedNeverExceedsColdLimit(@ForAll long seed) {
        Fleet fleet = fleet(seed, ServerState.COLD);
        fleet.runFor(10 * Fleet.SECOND);
        fleet.router(0).freezeFor(6 * Fleet.SECOND);
        fleet.router(2).freezeFor(5 * Fleet.SECOND);
        fleet.runFor(Fleet.LEASE);
        takeOver(fleet);
        int started = server(fleet).mStarted;
        fleet.runFor(20 * Fleet.SECOND);
        assertWithinLimit(fleet, started);
    }

    @Property(tries = 10, seed = "205")
    void grantAfterOwnerIsCutOffNeverExceedsColdLimit(@ForAll long seed) {
        Fleet fleet = fleet(seed, ServerState.COLD);
        fleet.runFor(10 * Fleet.SECOND);
        fleet.router(0).mPartition = 1;
        fleet.runFor(Fleet.LEASE);
        fleet.router(0).execute(fleet.router(0).mAdmission.onViewLost(fleet.mNow));
        takeOver(fleet);
        int started = server(fleet).mStarted;
        fleet.runFor(10 * Fleet.SECOND);
        fleet.router(0).mPartition = 0;
        fleet.setOwner(server(fleet), fleet.router(1), fleet.mNow);
        fleet.runFor(10 * Fleet.SECOND);
        assertWithinLimit(fleet, started);
    }

    @Property(tries = 10, seed = "206")
    void losingOneRouterWhileTheOwnerStaysNeverExceedsColdLimit(@ForAll long seed) {
        Fleet fleet = fleet(seed, ServerState.COLD);
        fleet.runFor(10 * Fleet.SECOND);
        fleet.router(2).mAlive = false;
        fleet.router(0)
                .executeOwner(fleet.router(0).mOwner.onRouterLost(fleet.router(2).mVm, fleet.mNow));
        int started = server(fleet).mStarted;
        fleet.runFor(140 * Fleet.SECOND);
        assertWithinLimit(fleet, started);
    }

    @Property(tries = 5, seed = "207")
    void routersWithoutViewStartNothingAtColdServersAndShareTheWarmLimit(@ForAll long seed) {
        Fleet fleet = fleet(seed, ServerState.COLD);
        fleet.mRouters.values().forEach(r -> r.mPartition = r.mVm.hashCode());
        for (FleetRouter router : fleet.mRouters.values()) {
            FleetServer server = server(fleet);
            fleet.runFor(Fleet.SECOND);
            router.mAdmission.onViewLost(fleet.mNow);
            router.mAdmission.onServer(serverInfo(server, false));
        }
        fleet.runFor(10 * Fleet.SECOND);
        assertWithMessage("started cold").that(server(fleet).mStarted).isEqualTo(0);
        server(fleet).set(ServerState.WARM);
        fleet.mRouters
                .values()
                .forEach(r -> r.mAdmission.onServer(serverInfo(server(fleet), true)));
        fleet.runFor(10 * Fleet.SECOND);
        assertWithMessage("most running").that(server(fleet).mMaxRunning).isEqualTo(WARM_LIMIT);
    }

    private static ServerInfo serverInfo(FleetServer server, boolean warm) {
        return new ServerInfo(server.mId, 1, "127.0.0.1:1", Fleet.POOL, warm, WARM_LIMIT, true);
    }
}
