package org.jacinthwharf.process.router;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.ClaimEnd;
import org.jacinthwharf.wire.generated.ClaimEndReply;
import org.jacinthwharf.wire.generated.ClaimOutcome;
import org.jacinthwharf.wire.generated.ClaimReply;
import org.jacinthwharf.wire.generated.ClaimRequest;
import org.jacinthwharf.wire.generated.Envelope;

/**
 * Sends claims and their ends to the control group, again through another member when no reply
 * comes.
 *
 * <p>Used on the event loop only. Invariants: a resend carries the same claim id, so the group
 * answers it as it answered the first; a claim that was sent is followed up until the group has
 * answered it, also after the caller was told that claims are unavailable.
 */
final class ClaimClient {
    /** A member that has not replied by then is passed over; above one commit across regions. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(700);

    /** Pause before another member is asked; a new leader is there after one or two seconds. */
    private static final Duration UNAVAILABLE_PAUSE = Duration.ofMillis(200);

    /** Time after which the caller hears that claims are unavailable. */
    private static final Duration CLAIM_WAIT = Duration.ofSeconds(3);

    // A claim whose caller was answered may still be granted; without its end as NOT_RUN the key
    // would answer "outcome unknown". At one send in
    // 700 ms, 170 of them cover the longest deadline of a claim.
    private static final int MAX_CLAIM_SENDS_IN_ALL = 170;
    // An end is worth more tries: without it the key answers "outcome unknown" for 24 h.
    private static final int MAX_END_SENDS = 40;
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final PeerLinks mLinks;
    private final EventLoop mLoop;
    private final Map<String, Pending> mClaims = new HashMap<>();
    private final Map<String, Pending> mEnds = new HashMap<>();

    ClaimClient(PeerLinks links, EventLoop loop) {
        mLinks = links;
        mLoop = loop;
    }

    /** A message that waits for its reply. */
    private static final class Pending {
        final Envelope mMessage;
        final Consumer<ClaimReply> mOnReply;
        final Runnable mOnCommitted;
        final long mStartNanos;
        final Set<VmId> mTried = new HashSet<>();
        int mSends;
        boolean mReportedUnavailable;

        Pending(
                Envelope message,
                Consumer<ClaimReply> onReply,
                Runnable onCommitted,
                long startNanos) {
            mStartNanos = startNanos;
            mMessage = message;
            mOnReply = onReply;
            mOnCommitted = onCommitted;
        }
    }

    /** Claims a request key; the reply is CLAIM_UNAVAILABLE if no member replies in time. */
    void claim(ClaimRequest claim, Consumer<ClaimReply> onReply) {
        Envelope message = Envelope.newBuilder().setClaimRequest(claim).build();
        Pending pending = new Pending(message, onReply, () -> {}, mLoop.nowNanos());
        mClaims.put(claim.getClaimId(), pending);
        sendClaim(claim.getClaimId(), pending);
    }

    /** Reports the end of a claim; {@code whenCommitted} runs when it is committed, or never. */
    void end(ClaimEnd end, Runnable whenCommitted) {
        Envelope message = Envelope.newBuilder().setClaimEnd(end).build();
        Pending pending = new Pending(message, r -> {}, whenCommitted, mLoop.nowNanos());
        mEnds.put(end.getClaimId(), pending);
        sendEnd(end.getClaimId(), pending);
    }

    /** Takes the reply to a claim. */
    void onReply(VmId member, ClaimReply reply) {
        Pending pending = mClaims.get(reply.getClaimId());
        if (pending == null) {
            return;
        }
        if (reply.getOutcome() == ClaimOutcome.CLAIM_UNAVAILABLE) {
            // The member may be cut off or between leaders; the next one may not be.
            sendClaimLater(reply.getClaimId(), pending, UNAVAILABLE_PAUSE);
            return;
        }
        mClaims.remove(reply.getClaimId());
        pending.mOnReply.accept(reply);
    }

    /** Takes the reply to the end of a claim. */
    void onEndReply(ClaimEndReply reply) {
        if (!reply.getCommitted()) {
            return;
        }
        Pending pending = mEnds.remove(reply.getClaimId());
        if (pending != null) {
            pending.mOnCommitted.run();
        }
    }

    private void sendClaim(String claimId, Pending pending) {
        boolean sent = sendToNext(pending);
        boolean waited = mLoop.nowNanos() - pending.mStartNanos > CLAIM_WAIT.toNanos();
        if (!pending.mReportedUnavailable && (!sent || waited)) {
            reportUnavailable(claimId, pending);
        }
        if (pending.mSends == 0 || pending.mSends >= MAX_CLAIM_SENDS_IN_ALL) {
            mClaims.remove(claimId);
            return;
        }
        sendClaimLater(claimId, pending, REPLY_TIMEOUT);
    }

    /** Sends again after the pause unless a reply came or it was sent again meanwhile. */
    private void sendClaimLater(String claimId, Pending pending, Duration pause) {
        int sends = pending.mSends;
        mLoop.schedule(
                pause,
                () -> {
                    if (mClaims.get(claimId) == pending && pending.mSends == sends) {
                        sendClaim(claimId, pending);
                    }
                });
    }

    private static void reportUnavailable(String claimId, Pending pending) {
        pending.mReportedUnavailable = true;
        LOGGER.atInfo().log("event=claim_unavailable claim=%s sends=%d", claimId, pending.mSends);
        pending.mOnReply.accept(
                ClaimReply.newBuilder()
                        .setClaimId(claimId)
                        .setOutcome(ClaimOutcome.CLAIM_UNAVAILABLE)
                        .build());
    }

    private void sendEnd(String claimId, Pending pending) {
        if (pending.mSends >= MAX_END_SENDS) {
            mEnds.remove(claimId, pending);
            LOGGER.atWarning().log("event=claim_end_lost claim=%s", claimId);
            return;
        }
        if (!sendToNext(pending)) {
            pending.mSends++;
        }
        mLoop.schedule(
                REPLY_TIMEOUT,
                () -> {
                    if (mEnds.get(claimId) == pending) {
                        sendEnd(claimId, pending);
                    }
                });
    }

    /** Sends to a member that was not tried yet, or starts over with the first. */
    private boolean sendToNext(Pending pending) {
        Optional<VmId> member = mLinks.controlMemberExcept(pending.mTried);
        if (member.isEmpty()) {
            pending.mTried.clear();
            member = mLinks.controlMemberExcept(pending.mTried);
        }
        if (member.isEmpty()) {
            return false;
        }
        pending.mTried.add(member.get());
        pending.mSends++;
        return mLinks.sendToControl(member.get(), pending.mMessage);
    }
}
