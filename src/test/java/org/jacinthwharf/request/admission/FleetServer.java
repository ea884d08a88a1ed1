package org.jacinthwharf.request.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.wire.generated.ServerAnnouncement;
import org.jacinthwharf.wire.generated.ServerState;

/** A simulated backend server that admits everything and records how far it was overloaded. */
final class FleetServer {
    private record Run(CustomerId customer, double cost, long startedNanos) {}

    final Fleet mFleet;
    final BackendServerId mId;
    final int mColdLimit;
    final int mWarmLimit;
    ServerState mState;
    long mIncarnation = 1;
    long mColdSinceNanos = Long.MIN_VALUE / 2;
    int mMostAboveColdLimit;
    int mMostRunning;
    int mStarted;
    long mIdleSinceNanos;
    long mLongestIdleNanos;
    private final List<Run> mRunning = new ArrayList<>();
    // Announced numbers lag behind by up to a second: samples of the last 0.9 s, oldest first.
    private final ArrayDeque<Integer> mSamples = new ArrayDeque<>();
    private long mSequence;

    FleetServer(Fleet fleet, BackendServerId id, ServerState state, int cold, int warm) {
        mFleet = fleet;
        mId = id;
        mState = state;
        mColdLimit = cold;
        mWarmLimit = warm;
        mIdleSinceNanos = fleet.mNow;
    }

    void start() {
        mFleet.every(
                100 * Fleet.MILLI,
                () -> {
                    mSamples.addLast(mRunning.size());
                    if (mSamples.size() > 9) {
                        mSamples.removeFirst();
                    }
                });
        mFleet.every(Fleet.SECOND, this::announce);
        mFleet.every(Fleet.MILLI, this::watchIdle);
    }

    void set(ServerState state) {
        if (state == ServerState.COLD && mState != ServerState.COLD) {
            mColdSinceNanos = mFleet.mNow;
        }
        mState = state;
        announce();
    }

    /** Starts a new, cold process without requests. */
    void restart() {
        mRunning.clear();
        mSamples.clear();
        mIncarnation++;
        set(ServerState.COLD);
    }

    void announce() {
        FleetRouter owner = mFleet.mRouters.get(mFleet.mOwners.get(mId));
        int running = mSamples.isEmpty() ? mRunning.size() : mSamples.getFirst();
        ServerAnnouncement announcement =
                ServerAnnouncement.newBuilder()
                        .setServer(mId.value())
                        .setIncarnation(mIncarnation)
                        .setSequence(++mSequence)
                        .setAddress("127.0.0.1:1")
                        .setModel("m")
                        .setVersion("v1")
                        .setState(mState)
                        .setColdLimit(mColdLimit)
                        .setWarmLimit(mWarmLimit)
                        .setRunning(running)
                        .build();
        owner.receive(
                () -> owner.actOwner(owner.mOwner.onAnnouncement(announcement, mFleet.mNow)),
                owner);
    }

    void run(FleetRouter router, QueuedRequest<Fleet.Job> request, Slot slot) {
        Run run = new Run(request.customer(), request.request().cost(), mFleet.mNow);
        mRunning.add(run);
        mStarted++;
        mMostRunning = Math.max(mMostRunning, mRunning.size());
        // Grants made before the owner learned of the change may be used for 1 s.
        if (mState == ServerState.COLD
                && mFleet.mNow - mColdSinceNanos > Fleet.SECOND + 3 * mFleet.mMaxDelayNanos) {
            mMostAboveColdLimit = Math.max(mMostAboveColdLimit, mRunning.size() - mColdLimit);
        }
        mFleet.after(
                (long) (run.cost() * mFleet.mUnitNanos),
                () -> {
                    if (mRunning.remove(run)) {
                        mFleet.mServed.merge(run.customer(), run.cost(), Double::sum);
                    }
                    router.receive(() -> router.ended(request, slot), router);
                });
    }

    int running() {
        return mRunning.size();
    }

    double partial(CustomerId customer) {
        return mRunning.stream()
                .filter(run -> run.customer().equals(customer))
                .mapToDouble(run -> (double) (mFleet.mNow - run.startedNanos()) / mFleet.mUnitNanos)
                .sum();
    }

    private void watchIdle() {
        int limit = mState == ServerState.COLD ? mColdLimit : mWarmLimit;
        boolean work = mFleet.mRouters.values().stream().anyMatch(r -> r.mAdmission.waiting() > 0);
        if (mRunning.size() >= limit || !work) {
            mIdleSinceNanos = mFleet.mNow;
        }
        mLongestIdleNanos = Math.max(mLongestIdleNanos, mFleet.mNow - mIdleSinceNanos);
    }
}
