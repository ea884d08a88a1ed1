package org.jacinthwharf.process.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jacinthwharf.id.LogText;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.request.crash.CrashEvidence;
import org.jacinthwharf.request.crash.CrashSubject;
import org.jacinthwharf.request.crash.ServerIncarnation;
import org.jacinthwharf.request.dispatch.BackendServer;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.PromptEvidence;

/**
 * Protects the backend servers from requests that crash them, together with the other gateways.
 *
 * <p>Used on the event loop only. Invariants: a crash is sent to control in the run of the event
 * loop in which it is noticed, and an acquittal with the next load report; while no gateway
 * remembers a crash, only requests that are lost, or that outlive their call, are fingerprinted.
 */
final class CrashGuard {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final CrashEvidence mEvidence = new CrashEvidence();
    private final ControlLinks mControlLinks;
    private final Predicate<String> mIsRetester;
    private final EventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final Runnable mOnConviction;
    private ImmutableSet<CrashSubject> mLoggedConvicted = ImmutableSet.of();
    private boolean mSendScheduled;

    /** Whether control members were sent all that this gateway knows. */
    private boolean mSentAll;

    /** Whether a request may be sent to a server. */
    enum Admission {
        ALLOWED,
        /** Allowed, although it has a convicted subject, to find out whether that still crashes. */
        RETEST,
        BLOCKED
    }

    /**
     * Why a request is refused, and for how long.
     *
     * @param retryMillis time until such a request may be sent again
     */
    record Refusal(RefusalReason reason, long retryMillis) {}

    /**
     * An attempt whose connection ended before the answer was whole.
     *
     * @param answerBegun whether the first event of this attempt had arrived
     * @param headSeen whether the head of the answer had arrived
     * @param nanos when the connection ended
     */
    record LostAttempt(BackendServer server, boolean answerBegun, boolean headSeen, long nanos) {}

    /**
     * Creates a guard without evidence.
     *
     * @param isRetester whether this gateway is the one that retests a subject
     * @param onConviction runs when more subjects are convicted
     */
    CrashGuard(
            ControlLinks controlLinks,
            Predicate<String> isRetester,
            EventLoop loop,
            FleetMetrics metrics,
            Runnable onConviction) {
        mControlLinks = controlLinks;
        mIsRetester = isRetester;
        mLoop = loop;
        mMetrics = metrics;
        mOnConviction = onConviction;
    }

    /** Decides whether a request may be sent now; a retest is allowed once. */
    Admission admit(CallSubjects call) {
        ImmutableList<CrashSubject> blocking = blocking(call);
        if (blocking.isEmpty()) {
            return Admission.ALLOWED;
        }
        long now = mLoop.nowNanos();
        if (mayRetest(blocking, now)) {
            mEvidence.onRetest(blocking, now);
            mMetrics.countEvent("crash_retest");
            LOGGER.atInfo().log(
                    "event=crash_retest request=%s subjects=%s",
                    LogText.of(call.requestId()), blocking);
            return Admission.RETEST;
        }
        return Admission.BLOCKED;
    }

    private ImmutableSet<CrashSubject> known(CallSubjects call) {
        return mEvidence.hasRequests() ? call.all() : call.allSegments();
    }

    private ImmutableList<CrashSubject> blocking(CallSubjects call) {
        return mEvidence.convicted().isEmpty()
                ? ImmutableList.of()
                : mEvidence.blocking(known(call));
    }

    /** Records that a request is refused because of its subjects. */
    Refusal onRefused(CallSubjects call) {
        long now = mLoop.nowNanos();
        ImmutableList<CrashSubject> blocking = blocking(call);
        mEvidence.onRefused(blocking, now);
        LOGGER.atInfo().log(
                "event=crash_blocked request=%s subjects=%s crashes=%s",
                LogText.of(call.requestId()),
                blocking,
                blocking.stream().map(mEvidence::suspectedCrashes).toList());
        boolean whole = blocking.stream().anyMatch(s -> s.kind() == CrashSubject.Kind.REQUEST);
        return new Refusal(
                whole ? RefusalReason.REQUEST_BLOCKED : RefusalReason.PROMPT_BLOCKED,
                Math.max(1, TimeUnit.NANOSECONDS.toMillis(mEvidence.retestNanos(blocking) - now)));
    }

    /** Returns whether a request may have caused crashes, so that it must not be repeated. */
    boolean isSuspect(CallSubjects call) {
        return mEvidence.isSuspect(known(call));
    }

    /** Returns whether a request would be refused now; changes nothing. */
    boolean isBlocked(CallSubjects call) {
        ImmutableList<CrashSubject> blocking = blocking(call);
        return !blocking.isEmpty() && !mayRetest(blocking, mLoop.nowNanos());
    }

    private boolean mayRetest(ImmutableList<CrashSubject> blocking, long nowNanos) {
        return nowNanos >= mEvidence.retestNanos(blocking)
                && blocking.stream().map(CrashSubject::sharedName).allMatch(mIsRetester);
    }

    /** Records that the first event of an answer has arrived. */
    void onAnswerBegun(CallSubjects call) {
        onAnswered(call.segments());
    }

    /** Records that a whole answer has arrived. */
    void onAnswerWhole(CallSubjects call) {
        onAnswered(call.begunSegments());
        if (mEvidence.hasRequests()) {
            onAnswered(ImmutableSet.of(call.request()));
        }
    }

    private void onAnswered(ImmutableSet<CrashSubject> subjects) {
        mEvidence.onAnswered(subjects, mLoop.nowNanos());
        logConvicted();
    }

    /**
     * Returns whether the repeat of a lost request depends on whether its server crashed. Others
     * are repeated without waiting for the check.
     */
    boolean mustCheckBeforeRepeat(CallSubjects call) {
        return !call.segments().isEmpty()
                || (mEvidence.hasRequests()
                        && !mEvidence.suspectedCrashes(call.request()).isEmpty());
    }

    /**
     * Records a lost attempt, once it is known what a new connection to its server met.
     *
     * @return whether the request may have crashed the server, so that it must not be repeated
     */
    boolean onLost(CallSubjects call, LostAttempt lost, CrashCheck.Result check) {
        BackendServer server = lost.server();
        boolean crashed = check == CrashCheck.Result.REFUSED;
        LOGGER.atInfo().log(
                "event=attempt_lost request=%s server=%s born=%d new_connection=%s head_seen=%b"
                        + " answer_begun=%b segments=%s subject=%s",
                LogText.of(call.requestId()),
                server,
                server.bornMillis(),
                check.code(),
                lost.headSeen(),
                lost.answerBegun(),
                LogText.of(call.segments().toString()),
                crashed ? call.request() : "-");
        if (!crashed) {
            return false;
        }
        mMetrics.countEvent("attempt_lost_in_crash");
        server.onUnreachable(mLoop.nowNanos());
        ImmutableSet<CrashSubject> subjects = call.lost(lost.answerBegun());
        mEvidence.onCrash(
                new ServerIncarnation(server.id(), server.bornMillis()), subjects, lost.nanos());
        onChange();
        return mEvidence.isSuspect(subjects);
    }

    /** Merges the evidence of other gateways. */
    void onEvidence(PromptEvidence evidence) {
        mEvidence.merge(evidence, mLoop.nowNanos());
        onChange();
    }

    private void onChange() {
        if (!mSendScheduled) {
            mSendScheduled = true;
            mLoop.execute(
                    () -> {
                        mSendScheduled = false;
                        sendChanges();
                    });
        }
        if (logConvicted()) {
            mOnConviction.run();
        }
    }

    /** Logs changes; returns whether more segments are convicted. */
    private boolean logConvicted() {
        ImmutableSet<CrashSubject> convicted = mEvidence.convicted();
        if (convicted.equals(mLoggedConvicted)) {
            return false;
        }
        ImmutableSet<CrashSubject> added =
                Sets.difference(convicted, mLoggedConvicted).immutableCopy();
        for (CrashSubject s : added) {
            mMetrics.countEvent("crash_subject_convicted");
            LOGGER.atInfo().log(
                    "event=crash_subject_convicted subject=%s crashes=%s",
                    s, mEvidence.suspectedCrashes(s));
        }
        for (CrashSubject s : Sets.difference(mLoggedConvicted, convicted)) {
            LOGGER.atInfo().log("event=crash_subject_acquitted subject=%s", s);
        }
        mLoggedConvicted = convicted;
        return !added.isEmpty();
    }

    /** Sends what changed here to control; called with each load report. */
    void sendChanges() {
        Optional<VmId> relay = mControlLinks.relay();
        if (relay.isEmpty()) {
            return;
        }
        long now = mLoop.nowNanos();
        PromptEvidence changes = mEvidence.takeChanges(now);
        mSentAll = send(relay.get(), mSentAll ? changes : mEvidence.toMessage(now));
    }

    /** Sends all evidence to a member, which may have none. */
    void sendAll(VmId member) {
        mSentAll &= send(member, mEvidence.toMessage(mLoop.nowNanos()));
    }

    /** Sends all evidence again, since changes may have been lost with a link. */
    void onLinkDown() {
        mSentAll = false;
    }

    /** Returns whether the member's link took the evidence. */
    private boolean send(VmId member, PromptEvidence evidence) {
        return evidence.getSegmentsCount() == 0
                || mControlLinks.send(
                        member, Envelope.newBuilder().setPromptEvidence(evidence).build());
    }

    /** Forgets old evidence; called about once a second. */
    void expire() {
        mEvidence.expire(mLoop.nowNanos());
        logConvicted();
    }
}
