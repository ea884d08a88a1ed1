package org.jacinthwharf.request.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ServerState;
import org.junit.jupiter.api.Test;

/**
 * Guards the rules for where requests may start: the order of failure domains, G4 (a failure domain
 * out of service), G9 (a leaving server), recalls, and a restarted router.
 */
final class FailureDomainTest {
    private static final long LONG_REQUEST = 60 * Fleet.SECOND;

    private final Fleet mFleet = new Fleet(1, 1);
    private final FleetRouter mLocalRouter = mFleet.router(0);
    private final FleetRouter mRegionRouter = mFleet.addRouter(1, 1, "near", "region", 1);
    private final FleetRouter mRemoteRegionRouter = mFleet.addRouter(2, 1, "far", "other", 1);
    private int mJobs;
    private int mDemands;

    private FleetServer server(String id, ServerState state, int warmLimit, int owner) {
        return mFleet.addServer(id, state, 1, warmLimit, owner);
    }

    private void offer(FleetRouter router, int count, long durationNanos) {
        for (int i = 0; i < count; i++) {
            router.offer(
                    CustomerId.of("c"),
                    new Fleet.Job("j" + mJobs++, (double) durationNanos / mFleet.mUnitNanos),
                    OptionalDouble.empty(),
                    100 * Fleet.SECOND);
        }
    }

    private List<String> cancelled() {
        return mFleet.mOutcomes.stream().filter(o -> o.startsWith("cancel")).toList();
    }

    @Test
    void onlyTheExcessLeavesTheFailureDomainAndThenTheRegion() {
        FleetServer localServer = server("s0", ServerState.WARM, 2, 0);
        FleetServer regionServer = server("s1", ServerState.WARM, 2, 1);
        FleetServer remoteRegionServer = server("s2", ServerState.WARM, 2, 2);
        mFleet.runFor(4 * Fleet.SECOND);
        offer(mLocalRouter, 4, LONG_REQUEST);
        mFleet.runFor(190 * Fleet.MILLI);
        assertWithMessage("started in the local failure domain")
                .that(localServer.mStarted)
                .isEqualTo(2);
        assertWithMessage("started in the region before one exchange interval")
                .that(regionServer.mStarted)
                .isEqualTo(0);
        mFleet.runFor(2 * Fleet.SECOND);
        assertWithMessage("started in the region").that(regionServer.mStarted).isEqualTo(2);
        assertWithMessage("started in the other region while the region had capacity")
                .that(remoteRegionServer.mStarted)
                .isEqualTo(0);
        offer(mLocalRouter, 2, LONG_REQUEST);
        mFleet.runFor(Fleet.SECOND);
        assertWithMessage("started in the other region")
                .that(remoteRegionServer.mStarted)
                .isEqualTo(2);
    }

    @Test
    void ownerInFailureDomainOutOfServiceGrantsNothing() {
        FleetServer regionServer = server("s1", ServerState.WARM, 2, 1);
        mFleet.every(100 * Fleet.MILLI, () -> offer(mLocalRouter, 1, 50 * Fleet.MILLI));
        mFleet.runFor(4 * Fleet.SECOND);
        assertWithMessage("started before the failure domain went out of service")
                .that(regionServer.mStarted)
                .isGreaterThan(0);
        mRegionRouter.mOwner.setOutOfService(true);
        mFleet.runFor(Fleet.SECOND);
        int started = regionServer.mStarted;
        mFleet.runFor(4 * Fleet.SECOND);
        assertWithMessage("started while out of service")
                .that(regionServer.mStarted)
                .isEqualTo(started);
        mRegionRouter.mOwner.setOutOfService(false);
        mFleet.runFor(4 * Fleet.SECOND);
        assertWithMessage("started after the return to service")
                .that(regionServer.mStarted)
                .isGreaterThan(started);
    }

    @Test
    void routerUsesNoGrantOfFailureDomainOutOfServiceAndSendsItNoDemand() {
        FleetServer regionServer = server("s1", ServerState.WARM, 2, 1);
        mFleet.every(100 * Fleet.MILLI, () -> offer(mLocalRouter, 1, 50 * Fleet.MILLI));
        mFleet.runFor(4 * Fleet.SECOND);
        mLocalRouter.mAdmission.setOutOfService(mRegionRouter.mDomain, true);
        int started = regionServer.mStarted;
        mFleet.runFor(Fleet.SECOND);
        // Counts demands; adds no delay.
        mFleet.mExtraDelay =
                (to, m) -> {
                    mDemands += m.getPayloadCase() == Envelope.PayloadCase.DEMAND ? 1 : 0;
                    return 0;
                };
        mFleet.runFor(4 * Fleet.SECOND);
        // One request may be in flight to the server.
        assertWithMessage("started while out of service")
                .that(regionServer.mStarted)
                .isAtMost(started + 1);
        assertWithMessage("demands sent while out of service").that(mDemands).isEqualTo(0);
    }

    @Test
    void leavingServerGetsNoNewWork() {
        FleetServer leaving = server("s0", ServerState.WARM, 2, 0);
        FleetServer other = server("s3", ServerState.WARM, 2, 0);
        mFleet.every(20 * Fleet.MILLI, () -> offer(mLocalRouter, 1, 50 * Fleet.MILLI));
        mFleet.runFor(4 * Fleet.SECOND);
        leaving.set(ServerState.LEAVING);
        mFleet.runFor(100 * Fleet.MILLI);
        int started = leaving.mStarted;
        int startedAtOther = other.mStarted;
        assertWithMessage("started before the server was leaving").that(started).isGreaterThan(0);
        mFleet.runFor(4 * Fleet.SECOND);
        assertWithMessage("started while the server was leaving")
                .that(leaving.mStarted)
                .isEqualTo(started);
        assertWithMessage("started at the other server meanwhile")
                .that(other.mStarted)
                .isGreaterThan(startedAtOther);
    }

    @Test
    void lostRecallIsRepeatedAndCancelsEachRequestOnce() {
        FleetServer regionServer = server("s1", ServerState.WARM, 4, 1);
        mFleet.runFor(4 * Fleet.SECOND);
        offer(mLocalRouter, 4, LONG_REQUEST);
        mFleet.runFor(2 * Fleet.SECOND);
        mFleet.mLoss = 1;
        regionServer.set(ServerState.COLD);
        mFleet.runFor(100 * Fleet.MILLI);
        assertThat(cancelled()).isEmpty();
        mFleet.mLoss = 0;
        mFleet.runFor(5 * Fleet.SECOND);
        assertThat(cancelled()).containsExactly("cancel j1", "cancel j2", "cancel j3");
    }

    @Test
    void slotsOfRouterThatRestartedStayCountedAtColdServer() {
        FleetServer regionServer = server("s1", ServerState.COLD, 4, 1);
        // Routers without a view do not use cold slots.
        mLocalRouter.execute(mLocalRouter.mAdmission.onView(1, Map.of(), mFleet.mNow));
        mRemoteRegionRouter.execute(
                mRemoteRegionRouter.mAdmission.onView(1, Map.of(), mFleet.mNow));
        mFleet.runFor(6 * Fleet.SECOND);
        offer(mLocalRouter, 1, 10 * Fleet.SECOND);
        mFleet.runFor(2 * Fleet.SECOND);
        assertWithMessage("started before the restart").that(regionServer.mStarted).isEqualTo(1);
        FleetRouter restarted = mFleet.addRouter(0, 2, "fd", "region", 1);
        restarted.execute(restarted.mAdmission.onView(1, Map.of(), mFleet.mNow));
        mFleet.runFor(2 * Fleet.SECOND);
        offer(restarted, 2, Fleet.SECOND);
        offer(mRemoteRegionRouter, 1, Fleet.SECOND);
        mFleet.runFor(30 * Fleet.SECOND);
        assertWithMessage("maximum number of running requests")
                .that(regionServer.mMaxRunning)
                .isEqualTo(1);
        assertWithMessage("started after the restart").that(regionServer.mStarted).isEqualTo(4);
    }
}
