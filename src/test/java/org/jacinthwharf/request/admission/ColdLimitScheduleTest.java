package org.jacinthwharf.request.admission;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.OptionalDouble;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ServerState;
import org.junit.jupiter.api.Test;

/**
 * Guards G3 with fixed schedules, each of which exceeds the cold limit if one rule is missing: the
 * validity of grants, the owner's lease check, or the settling time of a cold server.
 */
final class ColdLimitScheduleTest {
    private static final int COLD_LIMIT = 2;
    private static final long LONG_REQUEST = 30 * Fleet.SECOND;

    private final Fleet mFleet = new Fleet(1, 3);
    private final FleetServer mServer = mFleet.addServer("s0", ServerState.COLD, COLD_LIMIT, 8, 0);
    private final FleetRouter mOwner = mFleet.router(0);
    private final FleetRouter mNextOwner = mFleet.router(1);
    private final FleetRouter mRouter = mFleet.router(2);
    private int mJobs;

    /** Offers as many requests as the cold limit allows. */
    private void offer(FleetRouter router, long durationNanos) {
        for (int i = 0; i < COLD_LIMIT; i++) {
            router.offer(
                    CustomerId.of("c"),
                    new Fleet.Job("j" + mJobs++, (double) durationNanos / mFleet.mUnitNanos),
                    OptionalDouble.empty(),
                    60 * Fleet.SECOND);
        }
    }

    private void runUntil(long nanos) {
        mFleet.runFor(nanos - mFleet.mNow);
    }

    private void delayGrantsTo(FleetRouter router, long nanos) {
        mFleet.mExtraDelay =
                (to, m) ->
                        to.equals(router.mVm)
                                        && m.getPayloadCase() == Envelope.PayloadCase.SLOT_GRANT
                                ? nanos
                                : 0;
    }

    private void assertFullButNotAboveLimit() {
        assertWithMessage("most running at the cold server")
                .that(mServer.mMaxRunning)
                .isEqualTo(COLD_LIMIT);
    }

    @Test
    void grantThatWaitedInTheSocketOfFrozenRouterStartsNothing() {
        runUntil(4 * Fleet.SECOND);
        offer(mRouter, LONG_REQUEST);
        // Its demand is in flight; the grants wait until it is resumed.
        mRouter.freezeFor(8 * Fleet.SECOND);
        mFleet.runFor(2 * Fleet.SECOND);
        mOwner.executeOwner(mOwner.mOwner.onRouterLost(mRouter.mVm, mFleet.mNow));
        offer(mNextOwner, LONG_REQUEST);
        mFleet.runFor(5 * Fleet.SECOND);
        assertWithMessage("started before it is resumed").that(mServer.mStarted).isEqualTo(2);
        mFleet.runFor(5 * Fleet.SECOND);
        assertFullButNotAboveLimit();
    }

    @Test
    void ownerResumedAfterItsLeaseExpiredGrantsNothing() {
        runUntil(4_500 * Fleet.MILLI);
        mOwner.renewLease();
        mOwner.mReachesCoordinator = false;
        mOwner.freezeFor(2_600 * Fleet.MILLI);
        offer(mRouter, LONG_REQUEST);
        mFleet.runFor(Fleet.LEASE);
        mFleet.setOwner(mServer, mNextOwner, mFleet.mNow);
        offer(mNextOwner, LONG_REQUEST);
        // Its grants start requests after the next owner has counted the running ones, but before
        // they expire.
        delayGrantsTo(mRouter, 900 * Fleet.MILLI);
        mFleet.runFor(8 * Fleet.SECOND);
        assertFullButNotAboveLimit();
    }

    @Test
    void grantsInFlightWhenTheirOwnerIsKilledAreCounted() {
        runUntil(5_700 * Fleet.MILLI);
        mOwner.renewLease();
        mOwner.mReachesCoordinator = false;
        mFleet.runFor(Fleet.LEASE - 100 * Fleet.MILLI);
        delayGrantsTo(mRouter, 800 * Fleet.MILLI);
        offer(mRouter, LONG_REQUEST);
        mFleet.runFor(50 * Fleet.MILLI);
        mOwner.mAlive = false;
        mFleet.runFor(50 * Fleet.MILLI);
        // When the lease ends nothing has started, so neither reports nor announcements include the
        // requests.
        assertWithMessage("started under the lease").that(mServer.mStarted).isEqualTo(0);
        mFleet.mExtraDelay = (to, m) -> 0;
        mFleet.setOwner(mServer, mNextOwner, mFleet.mNow);
        offer(mRouter, LONG_REQUEST);
        mFleet.runFor(8 * Fleet.SECOND);
        assertFullButNotAboveLimit();
    }

    @Test
    void ownerCutOffFromItsCoordinatorStopsGrantingAtTheEndOfItsLease() {
        mFleet.every(20 * Fleet.MILLI, () -> offer(mRouter, 40 * Fleet.MILLI));
        runUntil(6 * Fleet.SECOND);
        mOwner.renewLease();
        mOwner.mReachesCoordinator = false;
        mFleet.runFor(Fleet.LEASE);
        int started = mServer.mStarted;
        mFleet.setOwner(mServer, mNextOwner, mFleet.mNow);
        mFleet.runFor(8 * Fleet.SECOND);
        assertFullButNotAboveLimit();
        assertWithMessage("started by the next owner")
                .that(mServer.mStarted)
                .isGreaterThan(started);
    }
}
