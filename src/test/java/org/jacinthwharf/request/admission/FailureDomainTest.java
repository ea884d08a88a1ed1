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
 * Guards the places where work may start: the order of failure domains, G4 (a failure domain that
 * is out), G9 (a leaving server), recalls, and a router that restarts.
 */
final class FailureDomainTest {
    private static final long LONG_REQUEST = 60 * Fleet.SECOND;

    private final Fleet mFleet = new Fleet(1, 1);
    private final FleetRouter mHere = mFleet.router(0);
    private final FleetRouter mNear = mFleet.addRouter(1, 1, "near", "region", 1);
    private final FleetRouter mFar = mFleet.addRouter(2, 1, "far", "other", 1);
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
        FleetServer here = server("s0", ServerState.WARM, 2, 0);
        FleetServer near = server("s1", ServerState.WARM, 2, 1);
        FleetServer far = server("s2", ServerState.WARM, 2, 2);
        mFleet.runFor(4 * Fleet.SECOND);
        offer(mHere, 4, LONG_REQUEST);
        mFleet.runFor(190 * Fleet.MILLI);
        assertWithMessage("started here first").that(here.mStarted).isEqualTo(2);
        assertWithMessage("started near at once").that(near.mStarted).isEqualTo(0);
        mFleet.runFor(2 * Fleet.SECOND);
        assertWithMessage("started near").that(near.mStarted).isEqualTo(2);
        assertWithMessage("started far without need").that(far.mStarted).isEqualTo(0);
        offer(mHere, 2, LONG_REQUEST);
        mFleet.runFor(Fleet.SECOND);
        assertWithMessage("started far").that(far.mStarted).isEqualTo(2);
    }

    @Test
    void ownerInFailureDomainThatIsOutGrantsNothing() {
        FleetServer near = server("s1", ServerState.WARM, 2, 1);
        mFleet.every(100 * Fleet.MILLI, () -> offer(mHere, 1, 50 * Fleet.MILLI));
        mFleet.runFor(4 * Fleet.SECOND);
        assertWithMessage("started before").that(near.mStarted).isGreaterThan(0);
        mNear.mOwner.onFailureDomainOut(true);
        mFleet.runFor(Fleet.SECOND);
        int started = near.mStarted;
        mFleet.runFor(4 * Fleet.SECOND);
        assertWithMessage("started after").that(near.mStarted).isEqualTo(started);
        mNear.mOwner.onFailureDomainOut(false);
        mFleet.runFor(4 * Fleet.SECOND);
        assertWithMessage("started when it is back").that(near.mStarted).isGreaterThan(started);
    }

    @Test
    void routerUsesNoGrantOfFailureDomainThatIsOutAndAsksItForNothing() {
        FleetServer near = server("s1", ServerState.WARM, 2, 1);
        mFleet.every(100 * Fleet.MILLI, () -> offer(mHere, 1, 50 * Fleet.MILLI));
        mFleet.runFor(4 * Fleet.SECOND);
        mHere.mAdmission.onFailureDomainOut(mNear.mDomain, true);
        int started = near.mStarted;
        mFleet.runFor(Fleet.SECOND);
        mFleet.mExtraDelay =
                (to, m) -> {
                    mDemands += m.getPayloadCase() == Envelope.PayloadCase.DEMAND ? 1 : 0;
                    return 0;
                };
        mFleet.runFor(4 * Fleet.SECOND);
        // One request may be on its way to the server.
        assertWithMessage("started after").that(near.mStarted).isAtMost(started + 1);
        assertWithMessage("demands sent after").that(mDemands).isEqualTo(0);
    }

    @Test
    void leavingServerGetsNoNewWork() {
        FleetServer leaving = server("s0", ServerState.WARM, 2, 0);
        FleetServer other = server("s3", ServerState.WARM, 2, 0);
        mFleet.every(20 * Fleet.MILLI, () -> offer(mHere, 1, 50 * Fleet.MILLI));
        mFleet.runFor(4 * Fleet.SECOND);
        leaving.set(ServerState.LEAVING);
        mFleet.runFor(100 * Fleet.MILLI);
        int started = leaving.mStarted;
        int startedAtOther = other.mStarted;
        assertWithMessage("started before").that(started).isGreaterThan(0);
        mFleet.runFor(4 * Fleet.SECOND);
        assertWithMessage("started after").that(leaving.mStarted).isEqualTo(started);
        assertWithMessage("at the other").that(other.mStarted).isGreaterThan(startedAtOther);
    }

    @Test
    void lostRecallIsRepeatedAndCancelsEachRequestOnce() {
        FleetServer near = server("s1", ServerState.WARM, 4, 1);
        mFleet.runFor(4 * Fleet.SECOND);
        offer(mHere, 4, LONG_REQUEST);
        mFleet.runFor(2 * Fleet.SECOND);
        mFleet.mLoss = 1;
        near.set(ServerState.COLD);
        mFleet.runFor(100 * Fleet.MILLI);
        assertThat(cancelled()).isEmpty();
        mFleet.mLoss = 0;
        mFleet.runFor(5 * Fleet.SECOND);
        assertThat(cancelled()).containsExactly("cancel j1", "cancel j2", "cancel j3");
    }

    @Test
    void slotsOfRouterThatRestartedStayCountedAtColdServer() {
        FleetServer near = server("s1", ServerState.COLD, 4, 1);
        mHere.act(mHere.mAdmission.onView(1, Map.of(), mFleet.mNow));
        mFar.act(mFar.mAdmission.onView(1, Map.of(), mFleet.mNow));
        mFleet.runFor(6 * Fleet.SECOND);
        offer(mHere, 1, 10 * Fleet.SECOND);
        mFleet.runFor(2 * Fleet.SECOND);
        assertWithMessage("started before").that(near.mStarted).isEqualTo(1);
        FleetRouter restarted = mFleet.addRouter(0, 2, "fd", "region", 1);
        restarted.act(restarted.mAdmission.onView(1, Map.of(), mFleet.mNow));
        mFleet.runFor(2 * Fleet.SECOND);
        offer(restarted, 2, Fleet.SECOND);
        offer(mFar, 1, Fleet.SECOND);
        mFleet.runFor(30 * Fleet.SECOND);
        assertWithMessage("most running").that(near.mMostRunning).isEqualTo(1);
        assertWithMessage("started after the restart").that(near.mStarted).isEqualTo(4);
    }
}
