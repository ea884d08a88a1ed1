package org.jacinthwharf.request.crash;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMultiset;
import com.google.common.collect.Maps;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.wire.generated.SegmentCrash;
import org.jacinthwharf.wire.generated.SegmentEvidence;

/**
 * The evidence against one subject.
 *
 * <p>Not thread-safe. Invariant: an acquittal is never withdrawn, so records of several processes
 * can be merged in any order.
 */
final class SubjectRecord {
    /** Crashes within this time may have a common cause, such as the loss of a rack. */
    private static final long INDEPENDENT_CRASH_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Independent crashes that convict a subject that was never answered. */
    private static final int NEW_SUBJECT_CRASHES = 2;

    /** Independent crashes that convict a subject that was answered before. */
    private static final int KNOWN_SUBJECT_CRASHES = 3;

    /** Time from the last crash to the first retest; doubles with each further crash. */
    private static final long RETEST_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final int MAX_RETEST_DOUBLINGS = 10;

    /** A retest without a result by then is repeated. */
    private static final long RETEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** Bound on the crashes kept; more than convict any subject. */
    private static final int MAX_CRASHES = 24;

    /** Precision at which the time of the last request is shared. */
    private static final long SEEN_PRECISION_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Crashes that the subject may have caused, with their times. */
    private final Map<ServerIncarnation, Long> mSuspected = new HashMap<>();

    private final Map<ServerIncarnation, Long> mAcquitted = new HashMap<>();
    private final CrashSubject mSubject;
    private boolean mSoundBefore;
    private long mLastSeenNanos;
    private long mRetestedNanos = Long.MIN_VALUE / 2;

    SubjectRecord(CrashSubject subject, long nowNanos) {
        mSubject = subject;
        mLastSeenNanos = nowNanos;
    }

    /** Adds a crash; returns whether it was not known. */
    boolean addCrash(ServerIncarnation server, long nanos) {
        if (mSuspected.containsKey(server) || mAcquitted.containsKey(server)) {
            return false;
        }
        put(mSuspected, server, nanos);
        return true;
    }

    private static void put(
            Map<ServerIncarnation, Long> crashes, ServerIncarnation server, long nanos) {
        if (crashes.size() >= MAX_CRASHES) {
            crashes.remove(
                    Collections.min(crashes.entrySet(), Map.Entry.comparingByValue()).getKey());
        }
        crashes.put(server, nanos);
    }

    /**
     * Records that a server survived the subject, and acquits it of the crashes before that;
     * returns whether anything changes.
     */
    boolean onAnswered(long nanos) {
        boolean changed = setSoundBefore();
        return acquitBefore(nanos) || changed;
    }

    private boolean acquitBefore(long nanos) {
        if (mSuspected.isEmpty()) {
            return false;
        }
        return ImmutableMap.copyOf(mSuspected).entrySet().stream()
                        .filter(e -> e.getValue() < nanos)
                        .filter(e -> acquit(e.getKey()))
                        .count()
                > 0;
    }

    private boolean acquit(ServerIncarnation server) {
        Long nanos = mSuspected.remove(server);
        if (nanos != null) {
            put(mAcquitted, server, nanos);
        }
        return nanos != null;
    }

    private boolean setSoundBefore() {
        boolean changed = !mSoundBefore;
        mSoundBefore = true;
        return changed;
    }

    boolean isSoundBefore() {
        return mSoundBefore;
    }

    /** Records a request; returns whether other processes should know of it. */
    boolean onSeen(long nanos) {
        boolean changed = nanos - mLastSeenNanos > SEEN_PRECISION_NANOS;
        if (changed) {
            mLastSeenNanos = nanos;
        }
        return changed;
    }

    long lastSeenNanos() {
        return mLastSeenNanos;
    }

    /** Merges the evidence of another process; returns whether anything changed. */
    boolean merge(SegmentEvidence evidence, long nowNanos) {
        boolean changed = onSeen(nowNanos - TimeUnit.MILLISECONDS.toNanos(evidence.getAgeMillis()));
        if (evidence.getSoundBefore()) {
            changed |= setSoundBefore();
        }
        for (SegmentCrash c : evidence.getCrashesList()) {
            ServerIncarnation server = new ServerIncarnation(c.getServer(), c.getBornMillis());
            long nanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(c.getAgeMillis());
            changed |= addCrash(server, nanos);
            changed |= c.getAcquitted() && acquit(server);
        }
        return changed;
    }

    SegmentEvidence toMessage(long nowNanos) {
        SegmentEvidence.Builder message =
                SegmentEvidence.newBuilder()
                        .setSegment(mSubject.toString())
                        .setSoundBefore(mSoundBefore)
                        .setAgeMillis(ageMillis(mLastSeenNanos, nowNanos));
        mSuspected.forEach((k, t) -> message.addCrashes(toMessage(k, t, false, nowNanos)));
        mAcquitted.forEach((k, t) -> message.addCrashes(toMessage(k, t, true, nowNanos)));
        return message.build();
    }

    private static SegmentCrash toMessage(
            ServerIncarnation server, long nanos, boolean acquitted, long nowNanos) {
        return SegmentCrash.newBuilder()
                .setServer(server.server())
                .setBornMillis(server.bornMillis())
                .setAgeMillis(ageMillis(nanos, nowNanos))
                .setAcquitted(acquitted)
                .build();
    }

    private static long ageMillis(long nanos, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - nanos));
    }

    /** Returns the crashes that the subject may have caused. */
    Set<ServerIncarnation> suspectedCrashes() {
        return Collections.unmodifiableSet(mSuspected.keySet());
    }

    /** Returns whether enough independent crashes speak against the subject. */
    boolean isConvicted() {
        return isConvictedWithout(Set.of());
    }

    /** Returns whether enough independent crashes are left if some have another explanation. */
    boolean isConvictedWithout(Set<ServerIncarnation> explained) {
        return independentCrashes(explained) >= requiredCrashes();
    }

    private int requiredCrashes() {
        return mSoundBefore ? KNOWN_SUBJECT_CRASHES : NEW_SUBJECT_CRASHES;
    }

    private int independentCrashes(Set<ServerIncarnation> explained) {
        int count = 0;
        long previous = 0;
        Map<ServerIncarnation, Long> left =
                Maps.filterKeys(mSuspected, s -> !explained.contains(s));
        for (long time : ImmutableSortedMultiset.copyOf(left.values())) {
            if (count == 0 || time - previous >= INDEPENDENT_CRASH_NANOS) {
                count++;
                previous = time;
            }
        }
        return count;
    }

    /** Returns when a convicted subject may be retested, if its requests still come. */
    long retestNanos() {
        long lastCrash = Collections.max(mSuspected.values());
        int doublings =
                Math.min(independentCrashes(Set.of()) - requiredCrashes(), MAX_RETEST_DOUBLINGS);
        return Math.max(
                lastCrash + (RETEST_NANOS << Math.max(0, doublings)),
                mRetestedNanos + RETEST_TIMEOUT_NANOS);
    }

    void onRetest(long nowNanos) {
        mRetestedNanos = nowNanos;
    }
}
