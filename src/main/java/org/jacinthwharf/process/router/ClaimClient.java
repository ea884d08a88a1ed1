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
 * Sends claims and their ends to the control group, and retries through another member if no reply
 * arrives.
 *
 * <p>Used on the event loop only. Invariants: a retry carries the same claim id, so the control
 * group gives it the same reply as the first send; a claim that was sent is retried until the
 * control group has replied, even after it was reported as unavailable, up to {@link
 * #MAX_CLAIM_SENDS} sends.
 */
final class ClaimClient {
    /** Time to wait for a member before trying the next; exceeds one commit across regions. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(700);

    /** Delay before trying the next member; a leader election takes one or two seconds. */
    private static final Duration UNAVAILABLE_RETRY_DELAY = Duration.ofMillis(200);

    /** Time after which a claim is reported as unavailable. */
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(3);

    // A claim may be granted after its caller was answered. Unless it is then ended as NOT_RUN, the
    // key answers "outcome unknown". 170 sends at one per 700 ms cover the longest deadline of a
    // claim.
    private static final int MAX_CLAIM_SENDS = 170;
    // If the end of a claim is lost, the key answers "outcome unknown" for 24 h.
    private static final int MAX_END_SENDS = 40;
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final PeerLinks mLinks;
    private final EventLoop mLoop;
    private final Map<String, Pending> mPendingClaims = new HashMap<>();
    private final Map<String, Pending> mPendingEnds = new HashMap<>();

    ClaimClient(PeerLinks links, EventLoop loop) {
        mLinks = links;
        mLoop = loop;
    }

    /** A message that awaits its reply. */
    private static final class Pending {
        final Envelope mMessage;
        final Consumer<ClaimReply> mOnReply;
        final Runnable mOnCommitted;
        final long mStartNanos;
        final Set<VmId> mTriedMembers = new HashSet<>();
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

    /**
     * Claims a request key; the reply is CLAIM_UNAVAILABLE if no member replies within the timeout.
     */
    void claim(ClaimRequest claim, Consumer<ClaimReply> onReply) {
        Envelope message = Envelope.newBuilder().setClaimRequest(claim).build();
        Pending pending = new Pending(message, onReply, () -> {}, mLoop.nowNanos());
        mPendingClaims.put(claim.getClaimId(), pending);
        sendClaim(claim.getClaimId(), pending);
    }

    /** Reports the end of a claim; {@code whenCommitted} runs only if the end is committed. */
    void end(ClaimEnd end, Runnable whenCommitted) {
        Envelope message = Envelope.newBuilder().setClaimEnd(end).build();
        Pending pending = new Pending(message, r -> {}, whenCommitted, mLoop.nowNanos());
        mPendingEnds.put(end.getClaimId(), pending);
        sendEnd(end.getClaimId(), pending);
    }

    /** Handles the reply to a claim. */
    void onReply(VmId member, ClaimReply reply) {
        Pending pending = mPendingClaims.get(reply.getClaimId());
        if (pending == null) {
            return;
        }
        if (reply.getOutcome() == ClaimOutcome.CLAIM_UNAVAILABLE) {
            // This member may be partitioned or without a leader; another member may not be.
            scheduleClaimRetry(reply.getClaimId(), pending, UNAVAILABLE_RETRY_DELAY);
            return;
        }
        mPendingClaims.remove(reply.getClaimId());
        pending.mOnReply.accept(reply);
    }

    /** Handles the reply to the end of a claim. */
    void onEndReply(ClaimEndReply reply) {
        if (!reply.getCommitted()) {
            return;
        }
        Pending pending = mPendingEnds.remove(reply.getClaimId());
        if (pending != null) {
            pending.mOnCommitted.run();
        }
    }

    private void sendClaim(String claimId, Pending pending) {
        boolean sent = sendToNextMember(pending);
        boolean timedOut = mLoop.nowNanos() - pending.mStartNanos > CLAIM_TIMEOUT.toNanos();
        if (!pending.mReportedUnavailable && (!sent || timedOut)) {
            reportUnavailable(claimId, pending);
        }
        if (pending.mSends == 0 || pending.mSends >= MAX_CLAIM_SENDS) {
            mPendingClaims.remove(claimId);
            return;
        }
        scheduleClaimRetry(claimId, pending, REPLY_TIMEOUT);
    }

    /** Retries after {@code delay}, unless a reply or another retry comes first. */
    private void scheduleClaimRetry(String claimId, Pending pending, Duration delay) {
        int sends = pending.mSends;
        mLoop.schedule(
                delay,
                () -> {
                    if (mPendingClaims.get(claimId) == pending && pending.mSends == sends) {
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
            mPendingEnds.remove(claimId, pending);
            LOGGER.atWarning().log("event=claim_end_lost claim=%s", claimId);
            return;
        }
        if (!sendToNextMember(pending)) {
            pending.mSends++;
        }
        mLoop.schedule(
                REPLY_TIMEOUT,
                () -> {
                    if (mPendingEnds.get(claimId) == pending) {
                        sendEnd(claimId, pending);
                    }
                });
    }

    /** Sends to a member that was not tried yet, or starts over once all were tried. */
    private boolean sendToNextMember(Pending pending) {
        Optional<VmId> member = mLinks.findControlMember(pending.mTriedMembers);
        if (member.isEmpty()) {
            pending.mTriedMembers.clear();
            member = mLinks.findControlMember(pending.mTriedMembers);
        }
        if (member.isEmpty()) {
            return false;
        }
        pending.mTriedMembers.add(member.get());
        pending.mSends++;
        return mLinks.sendToControl(member.get(), pending.mMessage);
    }
}
