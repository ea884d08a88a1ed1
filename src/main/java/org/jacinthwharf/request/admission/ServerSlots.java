package org.jacinthwharf.request.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.ServerAnnouncement;
import org.jacinthwharf.wire.generated.ServerState;

/**
 * Accounts for the slots of one owned backend server.
 *
 * <p>Invariants: at a cold server the number of held slots plus unattributed requests is at least
 * the number of requests that run or can still start; {@link #free} is zero until that is certain.
 * Not thread-safe.
 */
final class ServerSlots {
    private static final long SETTLE_TIME =
            AdmissionDurations.GRANT_VALIDITY + AdmissionDurations.MAX_ANNOUNCEMENT_AGE;

    private record HeldSlot(
            RouterIncarnation router,
            long serverIncarnation,
            long demandSequence,
            long grantNumber,
            long sinceNanos,
            boolean granted) {}

    private final long mLeaseFreeFromNanos;
    private final Map<Long, HeldSlot> mHeld = new HashMap<>();
    // Released slots with the time of their release: a report sent before the return may arrive
    // after it.
    private final Map<Long, Long> mReleased = new HashMap<>();
    private final UnattributedRequests mUnattributed = new UnattributedRequests();
    private ServerAnnouncement mAnnouncement;
    private PoolId mPool;
    private long mAnnouncedNanos;
    // Whether the announcements include every request of earlier owners, by the rules for a warm
    // and for a cold server.
    private boolean mWarmSettled;
    private boolean mColdSettled;
    private boolean mSuspect;

    /**
     * Creates the accounting of a newly owned server, whose slots are unknown.
     *
     * @param leaseFreeFromNanos time at which every earlier lease has expired
     */
    ServerSlots(long leaseFreeFromNanos) {
        mLeaseFreeFromNanos = leaseFreeFromNanos;
    }

    /** Handles an announcement; returns false if it is malformed or not newer than the last one. */
    boolean onAnnouncement(ServerAnnouncement announcement, long nowNanos) {
        Optional<PoolId> pool =
                PoolMessages.parse(announcement.getModel(), announcement.getVersion());
        if (pool.isEmpty() || isStale(announcement)) {
            return false;
        }
        boolean restarted =
                mAnnouncement != null
                        && announcement.getIncarnation() > mAnnouncement.getIncarnation();
        mAnnouncement = announcement;
        mPool = pool.get();
        mAnnouncedNanos = nowNanos;
        mReleased
                .values()
                .removeIf(since -> nowNanos - since > AdmissionDurations.MAX_REORDER_DELAY);
        if (restarted) {
            mHeld.values().removeIf(h -> isFinished(h, announcement.getIncarnation(), nowNanos));
            mUnattributed.clear();
            boolean grantsExpired =
                    nowNanos >= mLeaseFreeFromNanos + AdmissionDurations.GRANT_VALIDITY;
            mColdSettled |= grantsExpired;
            mWarmSettled |= grantsExpired;
        }
        reconcile(nowNanos);
        return true;
    }

    /**
     * Returns whether the slot belongs to an earlier incarnation and can neither run nor start a
     * request.
     */
    private static boolean isFinished(HeldSlot held, long incarnation, long nowNanos) {
        // Until it expires, a grant for the earlier incarnation may still start a request at the
        // address of the new one.
        boolean mayStart =
                held.granted() && nowNanos - held.sinceNanos() <= AdmissionDurations.GRANT_VALIDITY;
        return held.serverIncarnation() < incarnation && !mayStart;
    }

    private boolean isStale(ServerAnnouncement next) {
        return mAnnouncement != null
                && (next.getIncarnation() < mAnnouncement.getIncarnation()
                        || next.getIncarnation() == mAnnouncement.getIncarnation()
                                && next.getSequence() <= mAnnouncement.getSequence());
    }

    private void reconcile(long nowNanos) {
        int announced = mAnnouncement.getRunning();
        int reported = (int) mHeld.values().stream().filter(h -> !h.granted()).count();
        long expiresNanos =
                mLeaseFreeFromNanos
                        + AdmissionDurations.GRANT_VALIDITY
                        + AdmissionDurations.MAX_REQUEST_DURATION;
        if (!mColdSettled && (isCold() || !mWarmSettled)) {
            mUnattributed.reset(Math.max(0, announced - reported), expiresNanos);
        } else {
            int attributed =
                    (int)
                            mHeld.values().stream()
                                    .filter(h -> nowNanos - h.sinceNanos() >= SETTLE_TIME)
                                    .count();
            mUnattributed.onAnnounced(announced, attributed, nowNanos);
        }
        mWarmSettled |= nowNanos >= mLeaseFreeFromNanos;
        mColdSettled |= nowNanos >= mLeaseFreeFromNanos + SETTLE_TIME;
    }

    /** Sets whether the server gets no new work; its held slots stay accounted for. */
    void onSuspect(boolean suspect) {
        mSuspect = suspect;
    }

    /** Returns the number of slots that may be granted now. */
    int free(long nowNanos) {
        if (!isUsable(nowNanos)) {
            return 0;
        }
        boolean settled = isCold() ? mColdSettled : nowNanos >= mLeaseFreeFromNanos;
        return settled ? Math.max(0, limit() - running(nowNanos)) : 0;
    }

    /** Returns the number of known requests above the limit of the server. */
    int excess(long nowNanos) {
        return mAnnouncement == null ? 0 : Math.max(0, running(nowNanos) - limit());
    }

    private int running(long nowNanos) {
        int unattributed =
                isCold() ? mUnattributed.coldCount(nowNanos) : mUnattributed.warmCount(nowNanos);
        return mHeld.size() + unattributed;
    }

    /** Returns whether the server may get any work. */
    boolean isUsable(long nowNanos) {
        return mAnnouncement != null
                && !mSuspect
                && (isCold() || mAnnouncement.getState() == ServerState.WARM)
                && nowNanos - mAnnouncedNanos <= AdmissionDurations.ANNOUNCEMENT_TIMEOUT;
    }

    boolean isCold() {
        return mAnnouncement != null
                && mAnnouncement.getState() != ServerState.WARM
                && mAnnouncement.getState() != ServerState.LEAVING;
    }

    int limit() {
        return isCold() ? mAnnouncement.getColdLimit() : mAnnouncement.getWarmLimit();
    }

    Optional<PoolId> pool() {
        return Optional.ofNullable(mPool);
    }

    ServerAnnouncement announcement() {
        return mAnnouncement;
    }

    /**
     * Records a granted slot.
     *
     * @param demandSequence the demand that the grant answers
     * @param grantNumber sequence number of the grant among those to the router
     */
    void onGranted(
            long slot,
            RouterIncarnation router,
            long demandSequence,
            long grantNumber,
            long nowNanos) {
        long incarnation = mAnnouncement.getIncarnation();
        mHeld.put(
                slot,
                new HeldSlot(router, incarnation, demandSequence, grantNumber, nowNanos, true));
    }

    void onReturned(VmId router, List<Long> slots, long nowNanos) {
        for (long slot : slots) {
            HeldSlot held = mHeld.get(slot);
            if (held == null || held.router().vm().equals(router)) {
                mHeld.remove(slot);
                mReleased.put(slot, nowNanos);
            }
        }
    }

    /**
     * Handles a router's report.
     *
     * @param listed the slots of this server at which the router runs requests, with the
     *     incarnation of the server
     * @param closedSequence grants for demands up to this sequence number start no more requests
     * @param closedGrant grants up to this number start no more requests
     */
    void onReport(
            RouterIncarnation router,
            Map<Long, Long> listed,
            long closedSequence,
            long closedGrant,
            long nowNanos) {
        for (Map.Entry<Long, HeldSlot> entry : List.copyOf(mHeld.entrySet())) {
            HeldSlot held = entry.getValue();
            if (held.router().equals(router)
                    && (held.demandSequence() <= closedSequence
                            || held.grantNumber() <= closedGrant)
                    && !listed.containsKey(entry.getKey())) {
                mHeld.remove(entry.getKey());
                mReleased.put(entry.getKey(), nowNanos);
            }
        }
        Map<Long, Long> unknown = new HashMap<>(listed);
        unknown.keySet().removeAll(mHeld.keySet());
        unknown.keySet().removeAll(mReleased.keySet());
        unknown.forEach(
                (slot, incarnation) ->
                        mHeld.put(slot, new HeldSlot(router, incarnation, 0, 0, nowNanos, false)));
        mUnattributed.attribute(unknown.size());
    }

    /**
     * Handles requests that their router cancelled. A cold server may run them until it detects
     * that their connections are closed, so they count as unattributed until it announces fewer
     * running requests. The limit of a warm server is soft, and waiting for its announcements would
     * leave slots idle.
     */
    void onCancelled(VmId router, List<Long> slots, long nowNanos) {
        if (isCold()) {
            long held =
                    slots.stream()
                            .map(mHeld::get)
                            .filter(h -> h != null && h.router().vm().equals(router))
                            .count();
            mUnattributed.addLost((int) held, nowNanos);
        }
        onReturned(router, slots, nowNanos);
    }

    /**
     * Counts the slots of a lost router as unattributed until the server announces fewer running
     * requests.
     */
    void onRouterLost(Predicate<RouterIncarnation> lost, long nowNanos) {
        int count = 0;
        for (Iterator<HeldSlot> i = mHeld.values().iterator(); i.hasNext(); ) {
            if (lost.test(i.next().router())) {
                i.remove();
                count++;
            }
        }
        mUnattributed.addLost(count, nowNanos);
    }

    /** Returns the number of slots that each router holds. */
    Map<VmId, Integer> heldByRouter() {
        Map<VmId, Integer> held = new TreeMap<>();
        mHeld.values().forEach(h -> held.merge(h.router().vm(), 1, Integer::sum));
        return held;
    }
}
