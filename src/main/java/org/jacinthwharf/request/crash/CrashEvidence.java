package org.jacinthwharf.request.crash;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.wire.generated.PromptEvidence;
import org.jacinthwharf.wire.generated.SegmentEvidence;

/**
 * What a process knows of prompt segments and requests that may crash backend servers (a query of
 * death).
 *
 * <p>A server that crashes takes many requests with it. Each of them may be the cause, and so may
 * any segment of its prompt. An answer that begins later acquits a segment of the crashes before
 * the begin of its answers; only a whole answer acquits it of those after the begin, and a request
 * of all. Each subject is convicted by several independent crashes without an acquittal. A request
 * is refused if it, or a segment of its prompt, is convicted, unless other convicted subjects were
 * lost in the same crashes and so explain them. A convicted subject is retested at growing
 * intervals, since it may have been convicted by chance, or the servers may have been mended.
 *
 * <p>Not thread-safe. Invariants: merging is idempotent, commutative and associative, so all
 * processes decide alike once they have exchanged their changes; memory is bounded.
 */
public final class CrashEvidence {
    /** Subjects that are kept. */
    private static final int MAX_SUBJECTS = 4_096;

    /** A subject is forgotten if no request with it has come for this long. */
    private static final long LIFETIME_NANOS = TimeUnit.MINUTES.toNanos(10);

    /**
     * Crashes, at whatever times, after which a request is not repeated that was lost as a whole or
     * after its answer had begun: most of them are innocent, and a caller cannot repeat the rest of
     * a stream.
     */
    private static final int SUSPECT_REPEATED_CRASHES = 2;

    private final Map<CrashSubject, SubjectRecord> mRecords = new LinkedHashMap<>();
    private final AnsweredSubjects mAnswered = new AnsweredSubjects();
    private final Set<CrashSubject> mChanged = new LinkedHashSet<>();
    private ImmutableSet<CrashSubject> mConvicted = ImmutableSet.of();

    /** Number of records of requests. */
    private int mRequests;

    /** Records that a server crashed which had a request with the subjects. */
    public void onCrash(
            ServerIncarnation server, Collection<CrashSubject> subjects, long nowNanos) {
        for (CrashSubject s : subjects) {
            SubjectRecord record = record(s, nowNanos);
            record.onSeen(nowNanos);
            if (record.addCrash(server, nowNanos)) {
                mChanged.add(s);
                updateConvicted(s);
            }
        }
        applyLastAnswers(subjects);
    }

    /**
     * Acquits subjects of all known crashes: an answer to a prompt with the segments has begun, or
     * is whole, or that to the request is whole.
     */
    public void onAnswered(Collection<CrashSubject> subjects, long nowNanos) {
        mAnswered.onAnswered(subjects, nowNanos);
        for (CrashSubject s : subjects) {
            applyAnswer(s, Long.MAX_VALUE);
        }
    }

    /** Acquits subjects of crashes before the last answer that this process knows of. */
    private void applyLastAnswers(Collection<CrashSubject> subjects) {
        for (CrashSubject s : subjects) {
            mAnswered.lastNanos(s).ifPresent(nanos -> applyAnswer(s, nanos));
        }
    }

    private void applyAnswer(CrashSubject subject, long nanos) {
        SubjectRecord record = mRecords.get(subject);
        if (record != null && record.onAnswered(nanos)) {
            mChanged.add(subject);
            updateConvicted(subject);
        }
    }

    /**
     * Merges the evidence of another process, and applies what this process knows of answers.
     *
     * @return the subjects for which anything changed
     */
    public ImmutableList<CrashSubject> merge(PromptEvidence evidence, long nowNanos) {
        List<CrashSubject> changed = new ArrayList<>();
        for (SegmentEvidence e : evidence.getSegmentsList()) {
            CrashSubject subject = CrashSubject.parse(e.getSegment());
            long seen = nowNanos - TimeUnit.MILLISECONDS.toNanos(e.getAgeMillis());
            boolean known = mRecords.containsKey(subject);
            if (known || !isExpired(seen, nowNanos)) {
                boolean merged = record(subject, seen).merge(e, nowNanos);
                if (merged || !known) {
                    changed.add(subject);
                    updateConvicted(subject);
                }
            }
        }
        applyLastAnswers(changed);
        return ImmutableList.copyOf(changed);
    }

    private SubjectRecord record(CrashSubject subject, long nowNanos) {
        SubjectRecord record = mRecords.get(subject);
        if (record == null) {
            if (mRecords.size() >= MAX_SUBJECTS) {
                evictOne();
            }
            record = new SubjectRecord(subject, nowNanos);
            mRecords.put(subject, record);
            mRequests += subject.isRequest() ? 1 : 0;
        }
        return record;
    }

    /** Removes the oldest subject that is not convicted, or the oldest if all are. */
    private void evictOne() {
        remove(
                mRecords.keySet().stream()
                        .filter(s -> !mConvicted.contains(s))
                        .findFirst()
                        .orElseGet(() -> Iterables.get(mRecords.keySet(), 0)));
    }

    private void remove(CrashSubject subject) {
        mRecords.remove(subject);
        mRequests -= subject.isRequest() ? 1 : 0;
        updateConvicted(subject);
    }

    private void updateConvicted(CrashSubject subject) {
        SubjectRecord record = mRecords.get(subject);
        boolean convicted = record != null && record.isConvicted();
        if (convicted == mConvicted.contains(subject)) {
            return;
        }
        Set<CrashSubject> changed = new LinkedHashSet<>(mConvicted);
        if (convicted) {
            changed.add(subject);
        } else {
            changed.remove(subject);
        }
        mConvicted = ImmutableSet.copyOf(changed);
    }

    /** Returns the convicted subjects. */
    public ImmutableSet<CrashSubject> convicted() {
        return mConvicted;
    }

    /** Returns whether anything is known of whole requests, so that fingerprints are of use. */
    public boolean hasRequests() {
        return mRequests > 0;
    }

    /** Returns the servers that a subject may have crashed. */
    public Set<ServerIncarnation> suspectedCrashes(CrashSubject subject) {
        SubjectRecord record = mRecords.get(subject);
        return record == null ? Set.of() : record.suspectedCrashes();
    }

    /**
     * Returns whether a lost request may have caused the crash, so that it must not be repeated: it
     * was lost in crashes before, or its prompt holds a segment that was lost and with which no
     * answer has ever come as far.
     */
    public boolean isSuspect(Collection<CrashSubject> subjects) {
        return subjects.stream().anyMatch(this::isSuspect);
    }

    private boolean isSuspect(CrashSubject subject) {
        SubjectRecord record = mRecords.get(subject);
        int crashes = subject.kind() == CrashSubject.Kind.SEGMENT ? 1 : SUSPECT_REPEATED_CRASHES;
        return record != null
                && !record.isSoundBefore()
                && record.suspectedCrashes().size() >= crashes;
    }

    /** Returns the subjects for which a request is refused, empty if it may be sent. */
    public ImmutableList<CrashSubject> blocking(Set<CrashSubject> subjects) {
        if (mConvicted.isEmpty()) {
            return ImmutableList.of();
        }
        return subjects.stream()
                .filter(mConvicted::contains)
                .filter(s -> !isExplainedWithout(s, subjects))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns whether convicted subjects that are not of the request explain the crashes of a
     * subject: one that was lost in all of them, or several requests together. Several requests do
     * not explain the crashes of a segment that was never answered, since it may be what they have
     * in common. A subject that was answered before is also explained if too few crashes are left
     * without those of one segment that was never answered.
     */
    private boolean isExplainedWithout(CrashSubject subject, Set<CrashSubject> request) {
        SubjectRecord record = mRecords.get(subject);
        Set<ServerIncarnation> crashes = record.suspectedCrashes();
        Set<ServerIncarnation> ofRequests = new HashSet<>();
        boolean byNewSegment = false;
        for (CrashSubject other : Sets.difference(mConvicted, request)) {
            SubjectRecord o = mRecords.get(other);
            if (o.suspectedCrashes().containsAll(crashes)) {
                return true;
            }
            if (other.isRequest()) {
                ofRequests.addAll(o.suspectedCrashes());
            } else if (!o.isSoundBefore()) {
                byNewSegment |= !record.isConvictedWithout(o.suspectedCrashes());
            }
        }
        boolean bySeveral = subject.isRequest() || record.isSoundBefore();
        return (bySeveral && ofRequests.containsAll(crashes))
                || (byNewSegment && record.isSoundBefore());
    }

    /**
     * Records a refused request, so that its subjects are not forgotten while such requests come.
     */
    public void onRefused(Collection<CrashSubject> blocking, long nowNanos) {
        for (CrashSubject s : blocking) {
            if (mRecords.get(s).onSeen(nowNanos)) {
                mChanged.add(s);
            }
        }
    }

    /** Returns when a request with the given blocking subjects may be sent as a retest. */
    public long retestNanos(Collection<CrashSubject> blocking) {
        return blocking.stream()
                .mapToLong(s -> mRecords.get(s).retestNanos())
                .max()
                .orElse(Long.MIN_VALUE / 2);
    }

    /** Records that a request with the given blocking subjects is sent as a retest. */
    public void onRetest(Collection<CrashSubject> blocking, long nowNanos) {
        blocking.forEach(s -> mRecords.get(s).onRetest(nowNanos));
    }

    /** Returns the evidence that changed in this process since the last call. */
    public PromptEvidence takeChanges(long nowNanos) {
        PromptEvidence changes = messageOf(mChanged, nowNanos);
        mChanged.clear();
        return changes;
    }

    /** Returns the evidence about the given subjects. */
    public PromptEvidence messageOf(Collection<CrashSubject> subjects, long nowNanos) {
        PromptEvidence.Builder message = PromptEvidence.newBuilder();
        for (CrashSubject s : subjects) {
            SubjectRecord record = mRecords.get(s);
            if (record != null) {
                message.addSegments(record.toMessage(nowNanos));
            }
        }
        return message.build();
    }

    /** Returns all evidence. */
    public PromptEvidence toMessage(long nowNanos) {
        return messageOf(mRecords.keySet(), nowNanos);
    }

    /** Forgets subjects that have not been seen for long. */
    public void expire(long nowNanos) {
        for (CrashSubject s : ImmutableList.copyOf(mRecords.keySet())) {
            if (isExpired(mRecords.get(s).lastSeenNanos(), nowNanos)) {
                remove(s);
            }
        }
    }

    private static boolean isExpired(long seenNanos, long nowNanos) {
        return nowNanos - seenNanos > LIFETIME_NANOS;
    }
}
