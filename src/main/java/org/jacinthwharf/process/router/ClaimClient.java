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
 * <p>Used on the event loop only. Invariant: a claim's reply is passed on once; a resend carries
 * the same claim id, so the group answers it as it answered the first.
 */
final class ClaimClient {
    /** A member that has not replied by then is passed over; above one commit across regions. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(700);

    private static final int MAX_CLAIM_SENDS = 3;
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
        final Set<VmId> mTried = new HashSet<>();
        int mSends;

        Pending(Envelope message, Consumer<ClaimReply> onReply, Runnable onCommitted) {
            mMessage = message;
            mOnReply = onReply;
            mOnCommitted = onCommitted;
        }
    }

    /** Claims a request key; the reply is CLAIM_UNAVAILABLE if no member replies in time. */
    void claim(ClaimRequest claim, Consumer<ClaimReply> onReply) {
        Envelope message = Envelope.newBuilder().setClaimRequest(claim).build();
        Pending pending = new Pending(message, onReply, () -> {});
        mClaims.put(claim.getClaimId(), pending);
        sendClaim(claim.getClaimId(), pending);
    }

    /** Reports the end of a claim; {@code whenCommitted} runs when it is committed, or never. */
    void end(ClaimEnd end, Runnable whenCommitted) {
        Envelope message = Envelope.newBuilder().setClaimEnd(end).build();
        Pending pending = new Pending(message, r -> {}, whenCommitted);
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
            sendClaim(reply.getClaimId(), pending);
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
        if (pending.mSends >= MAX_CLAIM_SENDS || !sendToNext(pending)) {
            mClaims.remove(claimId);
            LOGGER.atInfo().log(
                    "event=claim_unavailable claim=%s sends=%d", claimId, pending.mSends);
            pending.mOnReply.accept(
                    ClaimReply.newBuilder()
                            .setClaimId(claimId)
                            .setOutcome(ClaimOutcome.CLAIM_UNAVAILABLE)
                            .build());
            return;
        }
        int sends = pending.mSends;
        mLoop.schedule(
                REPLY_TIMEOUT,
                () -> {
                    if (mClaims.get(claimId) == pending && pending.mSends == sends) {
                        sendClaim(claimId, pending);
                    }
                });
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
