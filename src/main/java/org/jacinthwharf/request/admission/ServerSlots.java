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
 * <p>Invariants: at a cold server the held slots plus the unattributed requests are at least the
 * requests that run or can still start; {@link #free} is zero until that is known. Not thread-safe.
 */
final class ServerSlots {
    private static final long SETTLE_TIME =
            AdmissionTimes.GRANT_USE_LIMIT + AdmissionTimes.ANNOUNCEMENT_LAG;

    private record Held(
            RouterIncarnation router,
            long serverIncarnation,
            long demandSequence,
            long grantNumber,
            long sinceNanos,
            boolean granted) {}

    private final long mLeaseFreeFromNanos;
    private final Map<Long, Held> mHeld = new HashMap<>();
    // Slots given back, with the time: a report sent before the return may arrive after it.
    private final Map<Long, Long> mGone = new HashMap<>();
    private final Unattributed mUnattributed = new Unattributed();
    private ServerAnnouncement mAnnouncement;
    private PoolId mPool;
    private long mAnnouncedNanos;
    // Whether an announcement covers every request of earlier owners, by the rule for each state.
    private boolean mWarmSettled;
    private boolean mColdSettled;
    private boolean mSuspect;

    /**
     * Creates the account of a server that this owner knows nothing of.
     *
     * @param leaseFreeFromNanos time at which every earlier lease has expired
     */
    ServerSlots(long leaseFreeFromNanos) {
        mLeaseFreeFromNanos = leaseFreeFromNanos;
    }

    /** Handles an announcement; returns false if it is malformed or older than the known one. */
    boolean onAnnouncement(ServerAnnouncement announcement, long nowNanos) {
        Optional<PoolId> pool = Pools.parse(announcement.getModel(), announcement.getVersion());
        if (pool.isEmpty() || isOld(announcement)) {
            return false;
        }
        boolean restarted =
                mAnnouncement != null
                        && announcement.getIncarnation() > mAnnouncement.getIncarnation();
        mAnnouncement = announcement;
        mPool = pool.get();
        mAnnouncedNanos = nowNanos;
        mGone.values().removeIf(since -> nowNanos - since > AdmissionTimes.REORDER_LIMIT);
        if (restarted) {
            mHeld.values().removeIf(h -> isOver(h, announcement.getIncarnation(), nowNanos));
            mUnattributed.clear();
            boolean old = nowNanos >= mLeaseFreeFromNanos + AdmissionTimes.GRANT_USE_LIMIT;
            mColdSettled |= old;
            mWarmSettled |= old;
        }
        settle(nowNanos);
        return true;
    }

    /** Returns whether a slot of an earlier incarnation can neither run nor start a request. */
    private static boolean isOver(Held held, long incarnation, long nowNanos) {
        // A grant for the earlier incarnation may still start a request at the address of the new
        // one for as long as the grant use limit.
        boolean mayStart =
                held.granted() && nowNanos - held.sinceNanos() <= AdmissionTimes.GRANT_USE_LIMIT;
        return held.serverIncarnation() < incarnation && !mayStart;
    }

    private boolean isOld(ServerAnnouncement next) {
        return mAnnouncement != null
                && (next.getIncarnation() < mAnnouncement.getIncarnation()
                        || next.getIncarnation() == mAnnouncement.getIncarnation()
                                && next.getSequence() <= mAnnouncement.getSequence());
    }

    private void settle(long nowNanos) {
        int announced = mAnnouncement.getRunning();
        int reported = (int) mHeld.values().stream().filter(h -> !h.granted()).count();
        long zeroAt =
                mLeaseFreeFromNanos
                        + AdmissionTimes.GRANT_USE_LIMIT
                        + AdmissionTimes.LONGEST_REQUEST;
        if (!mColdSettled && (isCold() || !mWarmSettled)) {
            mUnattributed.set(Math.max(0, announced - reported), zeroAt);
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

    /** Notes whether the server gets no new work; what it holds stays counted. */
    void onSuspect(boolean suspect) {
        mSuspect = suspect;
    }

    /** Returns how many slots may be granted now. */
    int free(long nowNanos) {
        if (!isUsable(nowNanos)) {
            return 0;
        }
        boolean settled = isCold() ? mColdSettled : nowNanos >= mLeaseFreeFromNanos;
        return settled ? Math.max(0, limit() - running(nowNanos)) : 0;
    }

    /** Returns how many requests the server runs above its limit, as far as is known. */
    int excess(long nowNanos) {
        return mAnnouncement == null ? 0 : Math.max(0, running(nowNanos) - limit());
    }

    private int running(long nowNanos) {
        int unattributed = isCold() ? mUnattributed.cold(nowNanos) : mUnattributed.warm(nowNanos);
        return mHeld.size() + unattributed;
    }

    /** Returns whether the server may get work at all. */
    boolean isUsable(long nowNanos) {
        return mAnnouncement != null
                && !mSuspect
                && (isCold() || mAnnouncement.getState() == ServerState.WARM)
                && nowNanos - mAnnouncedNanos <= AdmissionTimes.SUSPECT_AFTER;
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
     * Notes a granted slot.
     *
     * @param demandSequence the demand that the grant answers
     * @param grantNumber number of the grant among those to the router
     */
    void onGranted(
            long slot,
            RouterIncarnation router,
            long demandSequence,
            long grantNumber,
            long nowNanos) {
        long incarnation = mAnnouncement.getIncarnation();
        mHeld.put(slot, new Held(router, incarnation, demandSequence, grantNumber, nowNanos, true));
    }

    void onReturned(VmId router, List<Long> slots, long nowNanos) {
        for (long slot : slots) {
            Held held = mHeld.get(slot);
            if (held == null || held.router().vm().equals(router)) {
                mHeld.remove(slot);
                mGone.put(slot, nowNanos);
            }
        }
    }

    /**
     * Handles a router's report.
     *
     * @param listed the slots of this server that the router runs, with its incarnation
     * @param closedSequence grants for demands up to this one start nothing any more
     * @param closedGrant grants up to this number start nothing any more
     */
    void onReport(
            RouterIncarnation router,
            Map<Long, Long> listed,
            long closedSequence,
            long closedGrant,
            long nowNanos) {
        for (Map.Entry<Long, Held> entry : List.copyOf(mHeld.entrySet())) {
            Held held = entry.getValue();
            if (held.router().equals(router)
                    && (held.demandSequence() <= closedSequence
                            || held.grantNumber() <= closedGrant)
                    && !listed.containsKey(entry.getKey())) {
                mHeld.remove(entry.getKey());
                mGone.put(entry.getKey(), nowNanos);
            }
        }
        Map<Long, Long> unknown = new HashMap<>(listed);
        unknown.keySet().removeAll(mHeld.keySet());
        unknown.keySet().removeAll(mGone.keySet());
        unknown.forEach(
                (slot, incarnation) ->
                        mHeld.put(slot, new Held(router, incarnation, 0, 0, nowNanos, false)));
        mUnattributed.attribute(unknown.size());
    }

    /**
     * Handles requests that their router gave up. A cold server may run them until it notices that
     * their connections are closed, so there they count until it announces fewer; the limit of a
     * warm server is soft, and waiting for announcements would leave its slots idle.
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

    /** Keeps the slots of a lost router counted until the server announces fewer. */
    void onRouterLost(Predicate<RouterIncarnation> lost, long nowNanos) {
        int count = 0;
        for (Iterator<Held> i = mHeld.values().iterator(); i.hasNext(); ) {
            if (lost.test(i.next().router())) {
                i.remove();
                count++;
            }
        }
        mUnattributed.addLost(count, nowNanos);
    }

    /** Returns how many slots each router holds. */
    Map<VmId, Integer> held() {
        Map<VmId, Integer> held = new TreeMap<>();
        mHeld.values().forEach(h -> held.merge(h.router().vm(), 1, Integer::sum));
        return held;
    }
}
