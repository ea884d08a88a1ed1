package org.jacinthwharf.request.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.wire.generated.ServerAnnouncement;
import org.jacinthwharf.wire.generated.ServerState;

/**
 * A simulated backend server that accepts every request and records by how much its limits were
 * exceeded.
 */
final class FleetServer {
    private record Run(CustomerId customer, double cost, long startedNanos) {}

    final Fleet mFleet;
    final BackendServerId mId;
    final int mColdLimit;
    final int mWarmLimit;
    ServerState mState;
    long mIncarnation = 1;
    long mColdSinceNanos = Long.MIN_VALUE / 2;
    int mMaxAboveColdLimit;
    int mMaxRunning;
    int mStarted;
    long mIdleSinceNanos;
    long mLongestIdleNanos;
    private final List<Run> mRunning = new ArrayList<>();
    // Samples of the last 0.9 s, oldest first, since announced numbers may be up to 1 s old.
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
        mFleet.every(Fleet.MILLI, this::updateIdleTime);
    }

    void set(ServerState state) {
        if (state == ServerState.COLD && mState != ServerState.COLD) {
            mColdSinceNanos = mFleet.mNow;
        }
        mState = state;
        announce();
    }

    /** Simulates a restart as a cold process without requests. */
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
                () -> owner.executeOwner(owner.mOwner.onAnnouncement(announcement, mFleet.mNow)),
                owner);
    }

    void run(FleetRouter router, QueuedRequest<Fleet.Job> request, Slot slot) {
        Run run = new Run(request.customer(), request.request().cost(), mFleet.mNow);
        mRunning.add(run);
        mStarted++;
        mMaxRunning = Math.max(mMaxRunning, mRunning.size());
        // Grants made before the owner received the new state may be used for 1 s.
        if (mState == ServerState.COLD
                && mFleet.mNow - mColdSinceNanos > Fleet.SECOND + 3 * mFleet.mMaxDelayNanos) {
            mMaxAboveColdLimit = Math.max(mMaxAboveColdLimit, mRunning.size() - mColdLimit);
        }
        mFleet.after(
                (long) (run.cost() * mFleet.mUnitNanos),
                () -> {
                    if (mRunning.remove(run)) {
                        mFleet.mServed.merge(run.customer(), run.cost(), Double::sum);
                    }
                    router.receive(() -> router.onEnded(request, slot), router);
                });
    }

    int running() {
        return mRunning.size();
    }

    double partialService(CustomerId customer) {
        return mRunning.stream()
                .filter(run -> run.customer().equals(customer))
                .mapToDouble(run -> (double) (mFleet.mNow - run.startedNanos()) / mFleet.mUnitNanos)
                .sum();
    }

    private void updateIdleTime() {
        int limit = mState == ServerState.COLD ? mColdLimit : mWarmLimit;
        boolean waiting =
                mFleet.mRouters.values().stream().anyMatch(r -> r.mAdmission.waiting() > 0);
        if (mRunning.size() >= limit || !waiting) {
            mIdleSinceNanos = mFleet.mNow;
        }
        mLongestIdleNanos = Math.max(mLongestIdleNanos, mFleet.mNow - mIdleSinceNanos);
    }
}
